package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.micabarrow.Samples;
import org.micabarrow.routing.Route;

/** When clients first tried, as far as the time that they give tells it. */
class FirstAttemptEstimatorTest {

    private final FirstAttemptEstimator tries = new FirstAttemptEstimator();

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
    void shouldTakeRequestForFirstTryWhenNothingIsKnown() {
        assertEquals(0, millisSince("r", 4_100));
    }

    @Test
    void shouldTellHowLongAgoClientFirstTriedWhenItGivesLessThanOthers() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(1_900, millisSince("r", 4_100));
        assertEquals(0, millisSince("r", 6_000));
    }

    @Test
    void shouldKeepRoutesApart() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(0, millisSince("other", 1_000));
    }

    @Test
    void shouldNotMistakeFirstTriesWhenHalfOfTheRequestsAreReturns() {
        oneIsRefused();
        for (int i = 0; i < 100; i++) {
            come(1, 6_000);
            come(1, 4_100);
        }
        assertEquals(0, millisSince("r", 6_000));
        assertEquals(1_900, millisSince("r", 4_100));
    }

    @Test
    void shouldNotPutHonestClientsBehindWhenSomeClaimToWaitForever() {
        oneIsRefused();
        for (int i = 0; i < 100; i++) {
            come(5, 6_000);
            come(1, Long.MAX_VALUE);
        }
        assertEquals(0, millisSince("r", 6_000));
    }

    @Test
    void shouldFollowWhenClientsGiveAnotherTimeFromNowOn() {
        oneIsRefused();
        come(100, 6_000);
        come(100, 3_000);
        assertEquals(0, millisSince("r", 3_000));
    }

    @Test
    void shouldNeverTellNegativeTimes() {
        oneIsRefused();
        come(20, 6_000);
        assertTrue(millisSince("r", 9_000) >= 0);
    }

    @Test
    void shouldTakeRequestForFirstTryWhenNobodyWasRefused() {
        come(20, 6_000);
        assertEquals(0, millisSince("r", 4_100));
    }

    @Test
    void shouldTakeRequestForFirstTryWhenAllThatWereRefusedMustBeBack() {
        oneIsRefused();
        come(20, 6_000);
        long connected = NOW + 1_800 + 1_000;
        assertEquals(1_900, tries.millisSince("r", 4_100, connected));
        assertEquals(0, tries.millisSince("r", 4_100, connected + 1));
    }

    /** As a request is that ends endpoints, and one whose client claims to wait for ever. */
    @Test
    void shouldAwaitNobodyForLongerThanRouteHoldsRequestsWhenRefusedForMinutes() {
        tries.refused(ROUTE, Long.MAX_VALUE, NOW);
        come(20, 6_000);
        assertEquals(1_900, tries.millisSince("r", 4_100, NOW + TIMEOUT));
        assertEquals(0, tries.millisSince("r", 4_100, NOW + TIMEOUT + 1_001));
    }

    @Test
    void shouldTakeRequestForFirstTryWhenItLacksLessThanAnyRefusedClientStaysAway() {
        oneIsRefused();
        come(20, 6_000);
        assertEquals(0, millisSince("r", 5_600));
        assertEquals(0, millisSince("r", 5_150));
        assertEquals(900, millisSince("r", 5_100));
    }
}
