package org.micabarrow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks that the limit follows the time to first byte. */
class ConcurrencyLimitTest {

    @Test
    void shouldDecreaseWhenResponsesAreSlowAndIncreaseWhenTheyAreFast() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 16);
        for (int i = 0; i < 50; i++) {
            limit.recordFirstByte(10);
        }
        for (int i = 0; i < 30; i++) {
            limit.recordFirstByte(200);
        }
        int decreased = limit.limit();
        assertTrue(decreased < 8, "limit: " + decreased);
        for (int i = 0; i < 500; i++) {
            acquireAll(limit);
            limit.recordFirstByte(10);
        }
        assertTrue(limit.limit() > decreased);
    }

    /** Acquires all slots, because the limit increases only under load. */
    private static void acquireAll(ConcurrencyLimit limit) {
        boolean acquired = true;
        while (acquired) {
            acquired = limit.tryAcquire(true);
        }
    }

    @Test
    void shouldReserveSlotsForShortRequestsWhenFullOfLongOnes() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 10);
        int longRequests = 0;
        while (limit.tryAcquire(false)) {
            longRequests++;
        }
        int shortRequests = 0;
        while (limit.tryAcquire(true)) {
            shortRequests++;
        }
        assertEquals(8, longRequests);
        assertEquals(2, shortRequests);
    }
}
