package org.micabarrow.liveness;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointStart;

/** Checks when the connections of a start count as having ended together. */
class OpenAttemptsTest {

    private static final EndpointStart START = new EndpointStart("e", OptionalLong.empty());
    private static final EndpointStart OTHER = new EndpointStart("f", OptionalLong.empty());
    private static final long ENDED_MILLIS = 10_000;

    private final OpenAttempts attempts = new OpenAttempts();

    @Test
    void shouldNotHaveEndedTogetherWhenNothingBrokeOff() {
        attempts.sent(START, 9_000);
        attempts.ended(START, 9_000);
        assertFalse(attempts.allEndedAt(START, ENDED_MILLIS));
    }

    @Test
    void shouldHaveEndedTogetherWhenAnotherBrokeOffAndNoneIsLeft() {
        attempts.sent(START, 9_000);
        attempts.brokeOff(START, ENDED_MILLIS + 3);
        attempts.ended(START, 9_000);
        assertTrue(attempts.allEndedAt(START, ENDED_MILLIS));
        assertFalse(attempts.allEndedAt(OTHER, ENDED_MILLIS));
    }

    @Test
    void shouldNotHaveEndedTogetherWhenEarlierRequestIsInProgress() {
        attempts.sent(START, 9_000);
        attempts.sent(START, 9_500);
        attempts.brokeOff(START, ENDED_MILLIS);
        attempts.ended(START, 9_000);
        assertFalse(attempts.allEndedAt(START, ENDED_MILLIS));
    }

    @Test
    void shouldIgnoreRequestsThatWereSentAfterwards() {
        attempts.brokeOff(START, ENDED_MILLIS);
        attempts.sent(START, ENDED_MILLIS + 1);
        assertTrue(attempts.allEndedAt(START, ENDED_MILLIS));
    }

    @Test
    void shouldKeepOpenAttemptsWhenManyOtherStartsBreakOff() {
        attempts.sent(START, 9_000);
        for (int i = 0; i < 2_000; i++) {
            attempts.brokeOff(new EndpointStart("other-" + i, OptionalLong.empty()), ENDED_MILLIS);
        }
        attempts.brokeOff(START, ENDED_MILLIS);
        assertFalse(attempts.allEndedAt(START, ENDED_MILLIS));
        attempts.ended(START, 9_000);
        assertTrue(attempts.allEndedAt(START, ENDED_MILLIS));
    }

    @Test
    void shouldNotHaveEndedTogetherWhenBreakWasLongBefore() {
        attempts.brokeOff(START, ENDED_MILLIS - 250);
        assertFalse(attempts.allEndedAt(START, ENDED_MILLIS));
    }
}
