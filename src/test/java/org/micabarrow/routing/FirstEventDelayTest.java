package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How much longer first events take than predicted. */
class FirstEventDelayTest {

    private static final double FIGURES_MILLIS = 100;

    private final FirstEventDelay delay = new FirstEventDelay();

    /** First events that each take so long, where the figures of the service say 100 ms. */
    private void come(int events, long tookMillis, long nowMillis) {
        for (int i = 0; i < events; i++) {
            delay.observed(FIGURES_MILLIS * delay.factor(nowMillis), tookMillis, nowMillis);
        }
    }

    @Test
    void shouldExpectWhatFiguresSayWhenNothingCameYet() {
        assertEquals(1, delay.factor(5_000));
    }

    @Test
    void shouldExpectWhatFirstEventsTakeWhenTheyAreSlow() {
        come(20, 300, 1_000);
        assertEquals(3, delay.factor(1_000), 0.05);
    }

    @Test
    void shouldExpectNoLessThanFiguresSayWhenFirstEventsAreQuick() {
        come(20, 10, 1_000);
        assertEquals(1, delay.factor(1_000));
    }

    @Test
    void shouldForgetWhenNothingComes() {
        come(20, 300, 1_000);
        assertTrue(delay.factor(3_000) < 1.6);
        assertTrue(delay.factor(7_000) < 1.1);
    }

    @Test
    void shouldBeBoundedWhenOneFirstEventTakesForEver() {
        come(100, Long.MAX_VALUE, 1_000);
        assertTrue(delay.factor(1_000) < 8);
    }
}
