package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.Samples;
import org.micabarrow.attempts.EarlySwitch.Waiting;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;

class EarlySwitchTest {

    @ParameterizedTest(name = "sent {0} ms ago, expected after {1} ms, {2} ms to the objective, silent {3}: {4}")
    @CsvSource({
        "100, 200, 300, false, false",
        "100, 500, 300, false, true",
        "100, 200, 300, true, true",
        "100, 400, 300, false, false",
        "500, 900, 0, true, false",
        "500, 900, -100, false, false"
    })
    void shouldLookElsewhereOnlyWhenLateHereAndObjectiveIsNotOver(
            long waited, double expected, long toObjective, boolean silent, boolean due) {
        Waiting waiting = new Waiting(waited, expected, toObjective, silent);
        assertEquals(due, EarlySwitch.due(Samples.resumableStreams(5_000), waiting));
    }

    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"AT_MOST_ONCE", "STREAM"})
    void shouldStayWhenRequestMayRunOnlyOnce(RequestKind kind) {
        Route route =
                new Route("r", "h", "/", List.of(new Route.WeightedService("s", 1)), kind, 5_000, 400, 1, 2, false);
        assertFalse(EarlySwitch.due(route, new Waiting(100, 900, 300, true)));
    }

    @Test
    void shouldGoElsewhereOnlyWhenInTimeThere() {
        Waiting waiting = new Waiting(100, 900, 300, false);
        assertTrue(EarlySwitch.inTimeElsewhere(waiting, 250));
        assertFalse(EarlySwitch.inTimeElsewhere(waiting, 300));
    }
}
