package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.micabarrow.Samples;
import org.micabarrow.routing.Route;

class FirstTriesTest {

    private final FirstTries tries = new FirstTries();

    private static final long NOW = 100_000;
    private static final long TIMEOUT = 6_000;
    private static final Route ROUTE = Samples.resumableStreams(TIMEOUT);

    private long millisSince(String route, long millisGiven) {
        return tries.millisSince(route, millisGiven, NOW);
    }

    private void come(int requests, long millisGiven) {
        for (int i = 0; i < requests; i++) {
            millisSince("r", millisGiven);
        }
    }

    private void oneIsRefused() {
        tries.refused(ROUTE, 1_800, NOW);
    }

    @Test
    void shouldAssumeFirstAttemptWhenNothingIsKnown() {
        assertEquals(0, millisSince("r", 4_100));
    }

    @Test
    void shouldEstimateTimeSinceFirstAttemptWhenClientStatesLessThanOthers() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(1_900, millisSince("r", 4_100));
        assertEquals(0, millisSince("r", 6_000));
    }

    @Test
    void shouldKeepRoutesSeparate() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(0, millisSince("other", 1_000));
    }

    @Test
    void shouldRecogniseFirstAttemptsWhenHalfOfTheRequestsAreRetries() {
        oneIsRefused();
        for (int i = 0; i < 100; i++) {
            come(1, 6_000);
            come(1, 4_100);
        }
        assertEquals(0, millisSince("r", 6_000));
        assertEquals(1_900, millisSince("r", 4_100));
    }

    @Test
    void shouldNotPenaliseHonestClientsWhenSomeClaimToWaitForever() {
        oneIsRefused();
        for (int i = 0; i < 100; i++) {
            come(5, 6_000);
            come(1, Long.MAX_VALUE);
        }
        assertEquals(0, millisSince("r", 6_000));
    }

    @Test
    void shouldAdaptWhenClientsStateAnotherTime() {
        oneIsRefused();
        come(100, 6_000);
        come(100, 3_000);
        assertEquals(0, millisSince("r", 3_000));
    }

    @Test
    void shouldNotReturnNegativeTimesWhenClientStatesMoreThanOthers() {
        oneIsRefused();
        come(20, 6_000);
        assertTrue(millisSince("r", 9_000) >= 0);
    }

    @Test
    void shouldAssumeFirstAttemptWhenNoClientWasRefused() {
        come(20, 6_000);
        assertEquals(0, millisSince("r", 4_100));
    }

    @Test
    void shouldAssumeFirstAttemptWhenAllRetriesMustHaveArrived() {
        oneIsRefused();
        come(20, 6_000);
        long connected = NOW + 1_800 + 1_000;
        assertEquals(1_900, tries.millisSince("r", 4_100, connected));
        assertEquals(0, tries.millisSince("r", 4_100, connected + 1));
    }

    /** Covers poison requests, and clients that claim to wait forever. */
    @Test
    void shouldExpectRetriesNoLongerThanRouteHoldsRequestsWhenRefusedForMinutes() {
        tries.refused(ROUTE, Long.MAX_VALUE, NOW);
        come(20, 6_000);
        assertEquals(1_900, tries.millisSince("r", 4_100, NOW + TIMEOUT));
        assertEquals(0, tries.millisSince("r", 4_100, NOW + TIMEOUT + 1_001));
    }

    @Test
    void shouldAssumeFirstAttemptWhenTimeIsOnlySlightlyShorterThanUsual() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(0, millisSince("r", 5_600));
        assertEquals(0, millisSince("r", 5_150));
        assertEquals(900, millisSince("r", 5_100));
    }
}
