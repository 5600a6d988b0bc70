package org.micabarrow.clock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class MonotonicClockTest {

    @Test
    void shouldNeverStepBack() {
        long last = MonotonicClock.millis();
        for (int i = 0; i < 1_000; i++) {
            long now = MonotonicClock.millis();
            assertTrue(now >= last);
            last = now;
        }
    }
}
