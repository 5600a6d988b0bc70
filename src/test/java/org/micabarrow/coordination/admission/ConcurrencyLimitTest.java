package org.micabarrow.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The learned limit follows how soon answers begin. */
class ConcurrencyLimitTest {

    @Test
    void shouldFallWhenAnswersBeginLateAndRiseWhenTheyDoNot() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 16);
        for (int i = 0; i < 50; i++) {
            limit.began(10);
        }
        for (int i = 0; i < 30; i++) {
            limit.began(200);
        }
        int fallen = limit.limit();
        assertTrue(fallen < 8, "limit: " + fallen);
        for (int i = 0; i < 500; i++) {
            fill(limit);
            limit.began(10);
        }
        assertTrue(limit.limit() > fallen);
    }

    /** The limit rises only under load. */
    private static void fill(ConcurrencyLimit limit) {
        boolean opened = true;
        while (opened) {
            opened = limit.tryOpen(true);
        }
    }

    @Test
    void shouldNeverOpenMoreThanLimitAndKeepRoomForShort() {
        ConcurrencyLimit limit = new ConcurrencyLimit(2, 64, 10);
        int longOnes = 0;
        while (limit.tryOpen(false)) {
            longOnes++;
        }
        int shortOnes = 0;
        while (limit.tryOpen(true)) {
            shortOnes++;
        }
        assertEquals(8, longOnes);
        assertEquals(2, shortOnes);
    }
}
