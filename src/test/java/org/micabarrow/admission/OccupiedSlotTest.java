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

/** What one sending takes at its endpoint after each row of steps. */
class OccupiedSlotTest {

    private static final int PROMPT = 70;

    private final EndpointLoad load = new EndpointLoad(new EndpointRateLimit("a", new EntryCount(), new Random(1)));
    private final List<String> looks = new ArrayList<>();

    @ParameterizedTest
    @CsvSource({
        // steps,     idle,  prompt left, begun, what each look through the line sees
        "-,           false, 70,          false, ''",
        "read,        false, 0,           true,  taken:0",
        "read read,   false, 0,           true,  taken:0",
        "read free,   true,  0,           true,  taken:0 free:0",
        "free,        true,  0,           true,  taken:0 free:0"
    })
    void shouldFreePromptFirstAndThenPlace(String steps, boolean idle, int prompt, boolean begun, String seen) {
        OccupiedSlot room = new OccupiedSlot(
                load, PROMPT, () -> looks.add((load.idle() ? "free:" : "taken:") + load.ownPromptTokens()));
        for (String step : steps.split(" ")) {
            switch (step) {
                case "read" -> room.promptRead();
                case "free" -> room.free();
                default -> {}
            }
        }
        assertEquals(idle, load.idle());
        assertEquals(prompt, load.ownPromptTokens());
        assertEquals(begun, room.begun());
        assertEquals(seen, String.join(" ", looks));
    }
}
