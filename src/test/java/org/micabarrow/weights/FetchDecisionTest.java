package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.weights.FetchDecision.Candidate;
import org.micabarrow.weights.FetchDecision.Newest;
import org.micabarrow.weights.FetchDecision.OlderFirst;
import org.micabarrow.weights.FetchDecision.Situation;

/**
 * Of two overlapping versions, the one that costs less service time is fetched first. The times are those of a day with
 * 55 agents, in milliseconds.
 */
class FetchDecisionTest {

    private static final int CHUNKS = 64;
    private static final long HELD_UNTIL_MILLIS = 24_200;
    private static final long OLDER_UNTIL_MILLIS = 26_200;
    private static final long OUTAGE_MILLIS = 3_000;

    private static Candidate older(int missing) {
        return new Candidate(2, CHUNKS, missing, 0, 50);
    }

    private static Candidate newest(int missing, long delayMillis) {
        return new Candidate(3, CHUNKS, missing, delayMillis, 50);
    }

    private static FetchDecision decide(long nowMillis, Candidate older, Candidate newest, long current) {
        return FetchDecision.of(
                new Situation(nowMillis, HELD_UNTIL_MILLIS, older, OLDER_UNTIL_MILLIS, newest, current));
    }

    @Test
    void shouldFetchNewestWhenItArrives() {
        assertInstanceOf(Newest.class, decide(20_100, older(40), newest(CHUNKS, 0), 3));
    }

    @Test
    void shouldFetchOlderWhenNewestIsStalled() {
        assertInstanceOf(OlderFirst.class, decide(21_000, older(38), newest(54, OUTAGE_MILLIS), 3));
    }

    @Test
    void shouldContinueOlderWhenHalfOfItIsPresent() {
        assertInstanceOf(OlderFirst.class, decide(20_100, older(CHUNKS / 2), newest(CHUNKS, 0), 2));
    }

    @Test
    void shouldFetchNewestWhenOlderWouldBeTooLate() {
        assertInstanceOf(Newest.class, decide(25_000, older(38), newest(54, OUTAGE_MILLIS), 3));
        assertInstanceOf(Newest.class, decide(25_000, older(30), newest(54, OUTAGE_MILLIS), 2));
    }

    @Test
    void shouldFetchNewestWhenWaitingForItLosesLess() {
        Candidate slow = new Candidate(2, CHUNKS, 10, 0, 300);
        assertInstanceOf(Newest.class, decide(23_000, slow, newest(4, 200), 3));
    }

    @Test
    void shouldLimitEstimateWhenVersionNeverArrives() {
        Candidate never = new Candidate(2, CHUNKS, 10, 0, Double.POSITIVE_INFINITY);
        FetchDecision decision = decide(21_000, never, newest(54, OUTAGE_MILLIS), 3);
        assertInstanceOf(Newest.class, decision);
        assertEquals(FetchDecision.HORIZON_MILLIS, decision.otherLostMillis());
    }

    static LongStream seeds() {
        return LongStream.range(0, 500);
    }

    /** For random situations, the decision does not change as a result of itself. */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldKeepDecisionWhenNothingElseChanges(long seed) {
        Random random = new Random(seed);
        Candidate older = new Candidate(2, CHUNKS, random.nextInt(CHUNKS + 1), 0, 5 + random.nextInt(400));
        Candidate newest = new Candidate(
                3, CHUNKS, 1 + random.nextInt(CHUNKS), random.nextInt(2) * OUTAGE_MILLIS, 5 + random.nextInt(400));
        long now = 18_000 + random.nextInt(9_000);
        FetchDecision first = decide(now, older, newest, 2 + random.nextInt(2));
        FetchDecision again = decide(now, older, newest, first.version());
        assertEquals(first.version(), again.version(), () -> first + " then " + again);
    }
}
