package org.micabarrow.attempts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestTimesTest {

    private static final long ARRIVED = 10_000;

    private static RequestTimes times(long clientMillis, long timeout, long objective, long sinceFirstAttempt) {
        return new RequestTimes(ARRIVED, ARRIVED + clientMillis, timeout, objective, sinceFirstAttempt);
    }

    @ParameterizedTest
    @CsvSource({
        "3000, 1000,    0, 1000",
        "3000, 1000,  400,  600",
        "3000, 1000, 1000,    0",
        "3000, 1000, 1300, -300",
        " 700, 1000,    0,  700",
        " 700, 1000,  900, -200",
        "-100, 1000,    0, -100"
    })
    void shouldReturnRemainingTimeOfClientAndRoute(long clientMillis, long timeout, long after, long remaining) {
        assertEquals(remaining, times(clientMillis, timeout, 500, 0).remainingMillis(ARRIVED + after));
    }

    @ParameterizedTest
    @CsvSource({"3000, 1000, 1000", "700, 1000, 700", "0, 1000, 1", "-100, 1000, 1"})
    void shouldHoldRequestForRemainingTimeButAtLeastOneMillisecond(long clientMillis, long timeout, long maxHold) {
        assertEquals(maxHold, times(clientMillis, timeout, 500, 0).maxHoldMillis());
    }

    @ParameterizedTest
    @CsvSource({
        "  0,   0, false, 500",
        "200,   0, false, 300",
        "200, 250, false,  50",
        "200, 300, false,   0",
        "900,   0, false, -400",
        "900, 300, true,  500"
    })
    void shouldReturnRemainderOfObjectiveSinceFirstAttempt(
            long sinceFirstAttempt, long after, boolean begun, long remaining) {
        assertEquals(
                remaining, times(3_000, 1_000, 500, sinceFirstAttempt).untilObjectiveMillis(ARRIVED + after, begun));
    }
}
