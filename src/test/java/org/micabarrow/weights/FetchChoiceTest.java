package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.weights.FetchChoice.Candidate;
import org.micabarrow.weights.FetchChoice.Newest;
import org.micabarrow.weights.FetchChoice.OlderFirst;
import org.micabarrow.weights.FetchChoice.Situation;

/** Of two versions that overlap, the one is fetched first that costs less service; the times are seconds of a day of 55 agents. */
class FetchChoiceTest {

    private static final int CHUNKS = 64;
    private static final long HELD_UNTIL = 24_200;
    private static final long OLDER_UNTIL = 26_200;
    private static final long AWAY = 3_000;

    private static Candidate older(int missing) {
        return new Candidate(2, CHUNKS, missing, 0, 50);
    }

    private static Candidate newest(int missing, long awaitedMillis) {
        return new Candidate(3, CHUNKS, missing, awaitedMillis, 50);
    }

    private static FetchChoice choose(long nowMillis, Candidate older, Candidate newest, long current) {
        return FetchChoice.of(new Situation(nowMillis, HELD_UNTIL, older, OLDER_UNTIL, newest, current));
    }

    @Test
    void shouldTakeNewestWhenItComes() {
        assertInstanceOf(Newest.class, choose(20_100, older(40), newest(CHUNKS, 0), 3));
    }

    @Test
    void shouldTakeOlderWhenNothingOfNewestComes() {
        assertInstanceOf(OlderFirst.class, choose(21_000, older(38), newest(54, AWAY), 3));
    }

    @Test
    void shouldStayWithOlderWhenHalfOfItIsHere() {
        assertInstanceOf(OlderFirst.class, choose(20_100, older(CHUNKS / 2), newest(CHUNKS, 0), 2));
    }

    @Test
    void shouldNotTakeOlderWhenItCouldNotServeAnyMore() {
        assertInstanceOf(Newest.class, choose(25_000, older(38), newest(54, AWAY), 3));
        assertInstanceOf(Newest.class, choose(25_000, older(30), newest(54, AWAY), 2));
    }

    @Test
    void shouldTakeNewestWhenWaitingForItLosesLessThanOlderTakes() {
        Candidate slow = new Candidate(2, CHUNKS, 10, 0, 300);
        assertInstanceOf(Newest.class, choose(23_000, slow, newest(4, 200), 3));
    }

    @Test
    void shouldCountWhatIsNeverHadAsFarAway() {
        Candidate never = new Candidate(2, CHUNKS, 10, 0, Double.POSITIVE_INFINITY);
        FetchChoice choice = choose(21_000, never, newest(54, AWAY), 3);
        assertInstanceOf(Newest.class, choice);
        assertEquals(FetchChoice.HORIZON_MILLIS, choice.otherLostMillis());
    }

    static LongStream seeds() {
        return LongStream.range(0, 500);
    }

    /** Whatever is told, the choice is one of both, loses no less than a change takes, and does not swing by what it brings about. */
    @ParameterizedTest
    @MethodSource("seeds")
    void shouldStayWithItsChoiceWhenNothingElseChanges(long seed) {
        Random random = new Random(seed);
        Candidate older = new Candidate(2, CHUNKS, random.nextInt(CHUNKS + 1), 0, 5 + random.nextInt(400));
        Candidate newest =
                new Candidate(3, CHUNKS, 1 + random.nextInt(CHUNKS), random.nextInt(2) * AWAY, 5 + random.nextInt(400));
        long now = 18_000 + random.nextInt(9_000);
        FetchChoice first = choose(now, older, newest, 2 + random.nextInt(2));
        FetchChoice again = choose(now, older, newest, first.version());
        assertEquals(first.version(), again.version(), () -> first + " then " + again);
    }
}
