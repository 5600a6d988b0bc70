package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When the agents of a region give their orders. */
class OrderScheduleTest {

    private static final long BOUND = 8_000;
    private static final int AGENTS = 5;

    private static long at(int position) {
        return OrderSchedule.orderMillis(0, BOUND, position, AGENTS);
    }

    @Test
    void shouldSpreadOrdersEvenly() {
        long step = at(1) - at(0);
        assertTrue(step > 0);
        IntStream.range(1, AGENTS).forEach(i -> assertEquals(step, at(i) - at(i - 1), 1));
    }

    @Test
    void shouldCloseLastCordonBeforeOlderVersionMayNotAnswerAnyMore() {
        assertTrue(at(AGENTS - 1) - Cordon.LEAD_MILLIS < 0.88 * BOUND, "entries demand the version from 0.88 on");
    }

    @Test
    void shouldOrderAtFirstTimeWhenAlone() {
        assertEquals(at(0), OrderSchedule.orderMillis(0, BOUND, 0, 1));
    }
}
