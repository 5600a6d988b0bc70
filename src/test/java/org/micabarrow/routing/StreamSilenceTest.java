package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StreamSilenceTest {

    private static final long OBJECTIVE_MILLIS = 400;

    private final StreamGaps gaps = new StreamGaps();
    private final StreamSilence silence = new StreamSilence(gaps);
    private final StreamSilence other = new StreamSilence(gaps);

    /** Streams of the other endpoint get an event each 50 ms. */
    private void otherSteps(long fromMillis, long toMillis) {
        other.awaits(fromMillis);
        for (long now = fromMillis; now <= toMillis; now += 50) {
            other.arrived(50, now);
            other.awaits(now);
        }
        other.ended();
    }

    @Test
    void shouldFindEndpointMuteInsideObjectiveWhenOthersStepOn() {
        otherSteps(0, 10_000);
        silence.awaits(10_000);
        otherSteps(10_000, 10_150);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_150));
        otherSteps(10_150, 10_300);
        assertTrue(silence.mute(OBJECTIVE_MILLIS, 10_300));
        assertFalse(other.mute(OBJECTIVE_MILLIS, 10_300));
    }

    @Test
    void shouldNotFindEndpointMuteWhenAllAreSilent() {
        otherSteps(0, 10_000);
        silence.awaits(10_000);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 15_000), "the entry may be cut off");
    }

    @Test
    void shouldNotFindEndpointMuteWhenOneEventArrives() {
        otherSteps(0, 10_000);
        silence.awaits(10_000);
        silence.awaits(10_000);
        otherSteps(10_000, 10_300);
        silence.arrived(300, 10_300);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_300));
    }

    @Test
    void shouldNotFindEndpointMuteWhenNoStreamAwaitsAnEvent() {
        otherSteps(0, 10_000);
        silence.awaits(9_000);
        silence.ended();
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_000));
    }

    @Test
    void shouldKnowNothingWithoutManyEvents() {
        otherSteps(0, 1_000);
        silence.awaits(0);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 1_000));
    }

    @Test
    void shouldFindEndpointMuteThatNeverBegins() {
        otherSteps(0, 10_000);
        silence.sent(10_000);
        otherSteps(10_000, 10_400);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_400));
        otherSteps(10_400, 10_450);
        assertTrue(silence.mute(OBJECTIVE_MILLIS, 10_450));
        silence.begun(10_460);
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_460));
    }

    @Test
    void shouldKnowNothingOfEndpointWhoseRequestsHaveEnded() {
        otherSteps(0, 10_000);
        silence.sent(5_000);
        silence.withdrawn();
        assertFalse(silence.mute(OBJECTIVE_MILLIS, 10_000));
    }
}
