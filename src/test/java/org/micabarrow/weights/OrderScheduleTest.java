package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** When the agents of a region give their orders. */
class OrderScheduleTest {

    private static final long MAX_STALENESS_MILLIS = 8_000;
    private static final int AGENTS = 5;

    private static long orderMillis(int position) {
        return OrderSchedule.orderMillis(0, new VersionMoments(MAX_STALENESS_MILLIS), position, AGENTS);
    }

    @Test
    void shouldSpreadOrdersEvenly() {
        long interval = orderMillis(1) - orderMillis(0);
        assertTrue(interval > 0);
        IntStream.range(1, AGENTS).forEach(i -> assertEquals(interval, orderMillis(i) - orderMillis(i - 1), 1));
    }

    @Test
    void shouldCloseLastCordonBeforeEntriesRequireNewVersion() {
        assertTrue(
                orderMillis(AGENTS - 1) - Cordon.LEAD_MILLIS < 0.88 * MAX_STALENESS_MILLIS,
                "entries require the version from 0.88 on");
    }

    @Test
    void shouldOrderAtFirstTimeWhenRegionHasOneAgent() {
        assertEquals(orderMillis(0), OrderSchedule.orderMillis(0, new VersionMoments(MAX_STALENESS_MILLIS), 0, 1));
    }
}
