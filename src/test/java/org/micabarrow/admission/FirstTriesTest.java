package org.micabarrow.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When clients first tried, as far as the time that they give tells it. */
class FirstTriesTest {

    private final FirstTries tries = new FirstTries();

    private void come(int requests, long millisGiven) {
        for (int i = 0; i < requests; i++) {
            tries.millisSince("r", millisGiven);
        }
    }

    @Test
    void shouldTakeRequestForFirstTryWhenNothingIsKnown() {
        assertEquals(0, tries.millisSince("r", 4_100));
    }

    @Test
    void shouldTellHowLongAgoClientFirstTriedWhenItGivesLessThanOthers() {
        come(20, 6_000);
        assertEquals(1_900, tries.millisSince("r", 4_100));
        assertEquals(0, tries.millisSince("r", 6_000));
    }

    @Test
    void shouldKeepRoutesApart() {
        come(20, 6_000);
        assertEquals(0, tries.millisSince("other", 1_000));
    }

    @Test
    void shouldNotMistakeFirstTriesWhenHalfOfTheRequestsAreReturns() {
        for (int i = 0; i < 100; i++) {
            come(1, 6_000);
            come(1, 4_100);
        }
        assertEquals(0, tries.millisSince("r", 6_000));
        assertEquals(1_900, tries.millisSince("r", 4_100));
    }

    @Test
    void shouldNotPutHonestClientsBehindWhenSomeClaimToWaitForever() {
        for (int i = 0; i < 100; i++) {
            come(5, 6_000);
            come(1, Long.MAX_VALUE);
        }
        assertEquals(0, tries.millisSince("r", 6_000));
    }

    @Test
    void shouldFollowWhenClientsGiveAnotherTimeFromNowOn() {
        come(100, 6_000);
        come(100, 3_000);
        assertEquals(0, tries.millisSince("r", 3_000));
    }

    @Test
    void shouldNeverTellNegativeTimes() {
        come(20, 6_000);
        assertTrue(tries.millisSince("r", 9_000) >= 0);
    }
}
