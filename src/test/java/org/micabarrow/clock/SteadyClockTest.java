package org.micabarrow.clock;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SteadyClockTest {

    @Test
    void shouldNeverStepBack() {
        long last = SteadyClock.millis();
        for (int i = 0; i < 1_000; i++) {
            long now = SteadyClock.millis();
            assertTrue(now >= last);
            last = now;
        }
    }
}
