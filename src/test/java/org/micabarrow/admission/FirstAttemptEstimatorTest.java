package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.micabarrow.Samples;
import org.micabarrow.routing.Route;

class FirstAttemptEstimatorTest {

    private final FirstAttemptEstimator estimator = new FirstAttemptEstimator();

    private static final long NOW = 100_000;
    private static final long TIMEOUT = 6_000;
    private static final Route ROUTE = Samples.resumableStreams(TIMEOUT);

    private long millisSinceFirstAttempt(String route, long statedMillis) {
        return estimator.millisSinceFirstAttempt(route, statedMillis, NOW);
    }

    private void receive(int requests, long statedMillis) {
        for (int i = 0; i < requests; i++) {
            millisSinceFirstAttempt("r", statedMillis);
        }
    }

    private void refuseOne() {
        estimator.refused(ROUTE, 1_800, NOW);
    }

    @Test
    void shouldAssumeFirstAttemptWhenNothingIsKnown() {
        assertEquals(0, millisSinceFirstAttempt("r", 4_100));
    }

    @Test
    void shouldEstimateTimeSinceFirstAttemptWhenClientStatesLessThanOthers() {
        refuseOne();
        receive(20, 6_000);
        assertEquals(1_900, millisSinceFirstAttempt("r", 4_100));
        assertEquals(0, millisSinceFirstAttempt("r", 6_000));
    }

    @Test
    void shouldKeepRoutesSeparate() {
        refuseOne();
        receive(20, 6_000);
        assertEquals(0, millisSinceFirstAttempt("other", 1_000));
    }

    @Test
    void shouldRecogniseFirstAttemptsWhenHalfOfTheRequestsAreRetries() {
        refuseOne();
        for (int i = 0; i < 100; i++) {
            receive(1, 6_000);
            receive(1, 4_100);
        }
        assertEquals(0, millisSinceFirstAttempt("r", 6_000));
        assertEquals(1_900, millisSinceFirstAttempt("r", 4_100));
    }

    @Test
    void shouldNotPenaliseHonestClientsWhenSomeClaimToWaitForever() {
        refuseOne();
        for (int i = 0; i < 100; i++) {
            receive(5, 6_000);
            receive(1, Long.MAX_VALUE);
        }
        assertEquals(0, millisSinceFirstAttempt("r", 6_000));
    }

    @Test
    void shouldAdaptWhenClientsStateAnotherTime() {
        refuseOne();
        receive(100, 6_000);
        receive(100, 3_000);
        assertEquals(0, millisSinceFirstAttempt("r", 3_000));
    }

    @Test
    void shouldNotReturnNegativeTimesWhenClientStatesMoreThanOthers() {
        refuseOne();
        receive(20, 6_000);
        assertTrue(millisSinceFirstAttempt("r", 9_000) >= 0);
    }

    @Test
    void shouldAssumeFirstAttemptWhenNoClientWasRefused() {
        receive(20, 6_000);
        assertEquals(0, millisSinceFirstAttempt("r", 4_100));
    }

    @Test
    void shouldAssumeFirstAttemptWhenAllRetriesMustHaveArrived() {
        refuseOne();
        receive(20, 6_000);
        long connected = NOW + 1_800 + 1_000;
        assertEquals(1_900, estimator.millisSinceFirstAttempt("r", 4_100, connected));
        assertEquals(0, estimator.millisSinceFirstAttempt("r", 4_100, connected + 1));
    }

    /** Covers poison requests, and clients that claim to wait forever. */
    @Test
    void shouldExpectRetriesNoLongerThanRouteHoldsRequestsWhenRefusedForMinutes() {
        estimator.refused(ROUTE, Long.MAX_VALUE, NOW);
        receive(20, 6_000);
        assertEquals(1_900, estimator.millisSinceFirstAttempt("r", 4_100, NOW + TIMEOUT));
        assertEquals(0, estimator.millisSinceFirstAttempt("r", 4_100, NOW + TIMEOUT + 1_001));
    }

    @Test
    void shouldAssumeFirstAttemptWhenTimeIsOnlySlightlyShorterThanUsual() {
        refuseOne();
        receive(20, 6_000);
        assertEquals(0, millisSinceFirstAttempt("r", 5_600));
        assertEquals(0, millisSinceFirstAttempt("r", 4_651));
        assertEquals(1_350, millisSinceFirstAttempt("r", 4_650));
    }

    /** Clients wait for 5.1 to 6.9 s; who was refused comes back after 0.3 of its time. */
    @Test
    void shouldTellRetriesFromFirstAttemptsWhenClientsDifferByFifteenInHundred() {
        refuseOne();
        for (int i = 0; i < 64; i++) {
            millisSinceFirstAttempt("r", 5_100 + i * 1_800 / 63);
        }
        for (long time = 5_100; time <= 6_900; time += 100) {
            assertEquals(0, millisSinceFirstAttempt("r", time), "first attempt of a client that waits " + time);
        }
        for (long time = 5_100; time <= 6_700; time += 100) {
            long atReturn = time * 7 / 10;
            assertTrue(millisSinceFirstAttempt("r", atReturn) > 0, "return of a client that waits " + time);
        }
    }
}
