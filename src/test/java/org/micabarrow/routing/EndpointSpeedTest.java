package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EndpointSpeedTest {

    private static final double PREDICTED_MILLIS = 100;

    private final EndpointSpeed speed = new EndpointSpeed("a");

    /** Observes first events of the given duration, where the model profile predicts 100 ms. */
    private void observe(int events, long tookMillis, long nowMillis) {
        for (int i = 0; i < events; i++) {
            speed.firstEvent(PREDICTED_MILLIS * speed.factor(nowMillis), tookMillis, nowMillis);
        }
    }

    @Test
    void shouldApplyNoCorrectionWhenNothingWasObserved() {
        assertEquals(1, speed.factor(5_000));
    }

    @Test
    void shouldFollowObservationsWhenFirstEventsAreSlow() {
        observe(20, 300, 1_000);
        assertEquals(3, speed.factor(1_000), 0.05);
    }

    @Test
    void shouldNotCorrectBelowPredictionWhenFirstEventsAreFast() {
        observe(20, 10, 1_000);
        assertEquals(1, speed.factor(1_000));
    }

    @Test
    void shouldDecayWhenNothingIsObserved() {
        observe(20, 300, 1_000);
        assertTrue(speed.factor(3_000) < 1.6);
        assertTrue(speed.factor(7_000) < 1.1);
    }

    @Test
    void shouldBeBoundedWhenFirstEventsTakeForever() {
        observe(100, Long.MAX_VALUE, 1_000);
        assertTrue(speed.factor(1_000) < 8);
    }

    // -- reported pace

    @Test
    void shouldFollowReportedPaceAndForgetItWhenReportsStop() {
        speed.reported(OptionalDouble.of(2.5), 1_000);
        assertEquals(2.5, speed.factor(1_000), 0.01);
        assertEquals(2.5, speed.engineFactor(1_000), 0.01);
        assertTrue(speed.factor(6_000) < 1.1, "the report is old");
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.NEGATIVE_INFINITY, Double.POSITIVE_INFINITY, 1e9, 0.001})
    void shouldPredictUsualSpeedWhenReportedPaceIsAbsurd(double pace) {
        speed.reported(OptionalDouble.of(pace), 1_000);
        assertEquals(1, speed.factor(1_000));
    }

    @Test
    void shouldDisbelieveSlowPaceWhenFirstEventsAreFast() {
        for (int i = 0; i < 10; i++) {
            speed.reported(OptionalDouble.of(5), 1_000);
            speed.firstEvent(PREDICTED_MILLIS * speed.factor(1_000), 100, 1_000);
        }
        assertTrue(speed.factor(1_000) < 1.5);
        assertTrue(speed.engineFactor(1_000) < 1.5);
    }

    @Test
    void shouldFollowFirstEventsWhenReportedPaceIsUsualButEventsAreSlow() {
        for (int i = 0; i < 20; i++) {
            speed.reported(OptionalDouble.of(1), 1_000);
            speed.firstEvent(PREDICTED_MILLIS * speed.factor(1_000), 300, 1_000);
        }
        assertEquals(3, speed.factor(1_000), 0.05);
    }

    // -- steps

    @Test
    void shouldFollowStepsWhenAllOfTheLastPassesAreSlow() {
        for (int i = 0; i < 4; i++) {
            speed.stepped(40, 100, 1_000 + 100 * i);
        }
        assertEquals(2.5, speed.engineFactor(1_300), 0.01);
        assertTrue(speed.engineFactor(4_000) < 1.05, "no step since");
    }

    @Test
    void shouldNotCountPassThatReadsPromptAsSlow() {
        for (int i = 0; i < 20; i++) {
            speed.stepped(40, i % 4 == 0 ? 40 : 120, 1_000 + 120 * i);
        }
        assertEquals(1, speed.engineFactor(3_400));
    }

    @Test
    void shouldCountStreamsOfOnePassOnce() {
        for (int i = 0; i < 10; i++) {
            speed.stepped(40, 120, 1_000);
        }
        assertEquals(1, speed.engineFactor(1_000));
    }

    // -- cold start

    @Test
    void shouldPredictSlownessUntilEndpointIsWarm() {
        speed.coldFor(4_000, 1_000);
        assertEquals(2, speed.factor(1_000), 0.01);
        speed.coldFor(2_000, 3_000);
        assertEquals(1.5, speed.factor(3_000), 0.01);
        speed.coldFor(1_000, 4_000);
        assertEquals(1.25, speed.factor(4_000), 0.01, "the cold start has lasted from the first statement on");
        assertEquals(1, speed.factor(5_000));
    }
}
