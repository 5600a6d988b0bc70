package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;
import org.micabarrow.routing.EndpointLoad;

/** Checks the endpoint's load after each sequence of steps, and at each notification of freed capacity. */
class OccupiedSlotTest {

    private static final int PROMPT = 70;

    private final EndpointLoad load = new EndpointLoad(new EndpointRateLimit("a", new EntryCount(), new Random(1)));
    private final List<String> notifications = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({
        // steps,     idle,  pending prompt, started, state at each notification
        "-,         false, 70,             false,   ''",
        "read,      false, 0,              true,    taken:0",
        "read read, false, 0,              true,    taken:0",
        "read free, true,  0,              true,    taken:0 free:0",
        "free,      true,  0,              true,    taken:0 free:0"
    })
    void shouldReleasePromptBeforeSlot(
            String steps, boolean idle, int pendingPrompt, boolean started, String expected) {
        OccupiedSlot slot = new OccupiedSlot(
                load,
                PROMPT,
                () -> notifications.add((load.idle() ? "free:" : "taken:") + load.ownPendingPromptTokens()));
        for (String step : steps.split(" ")) {
            switch (step) {
                case "read" -> slot.promptRead();
                case "free" -> slot.release();
                default -> {}
            }
        }
        assertEquals(idle, load.idle());
        assertEquals(pendingPrompt, load.ownPendingPromptTokens());
        assertEquals(started, slot.started());
        assertEquals(expected, String.join(" ", notifications));
    }
}
