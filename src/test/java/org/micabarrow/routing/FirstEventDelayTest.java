package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FirstEventDelayTest {

    private static final double PREDICTED_MILLIS = 100;

    private final FirstEventDelay delay = new FirstEventDelay();

    /** Observes first events of the given duration, where the model profile predicts 100 ms. */
    private void observe(int events, long tookMillis, long nowMillis) {
        for (int i = 0; i < events; i++) {
            delay.observed(PREDICTED_MILLIS * delay.factor(nowMillis), tookMillis, nowMillis);
        }
    }

    @Test
    void shouldApplyNoCorrectionWhenNothingWasObserved() {
        assertEquals(1, delay.factor(5_000));
    }

    @Test
    void shouldFollowObservationsWhenFirstEventsAreSlow() {
        observe(20, 300, 1_000);
        assertEquals(3, delay.factor(1_000), 0.05);
    }

    @Test
    void shouldNotCorrectBelowPredictionWhenFirstEventsAreFast() {
        observe(20, 10, 1_000);
        assertEquals(1, delay.factor(1_000));
    }

    @Test
    void shouldDecayWhenNothingIsObserved() {
        observe(20, 300, 1_000);
        assertTrue(delay.factor(3_000) < 1.6);
        assertTrue(delay.factor(7_000) < 1.1);
    }

    @Test
    void shouldBeBoundedWhenFirstEventsTakeForever() {
        observe(100, Long.MAX_VALUE, 1_000);
        assertTrue(delay.factor(1_000) < 8);
    }
}
