package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.weights.OverlapPlay.Day;

/**
 * Fleets of 4 to 300 agents with links of 2 to 40 Mbit/s, on which two versions are named 0.1 to 8 s apart while the origin is away
 * for any window; agents start again and stand still. The play itself ends with an error if an endpoint serves a version that is
 * past its bound, goes back to an older one, or serves a layer that was not whole.
 */
class OverlapSeedsTest {

    private static final int DAYS = 32;
    private static final int MORE_DAYS = 150;

    /** What the service is to be, of that of the best plain way, which is known only after the day: on average, and at worst. */
    private static final double MEAN_PART = 0.95;

    private static final double LEAST_PART = 0.70;

    private record Played(Day day, double real, double best) {

        double part() {
            return real / best;
        }
    }

    private static Played play(Day day) {
        double real = new OverlapPlay(day, OverlapPolicies.real()).service();
        double best = OverlapPolicies.plain().stream()
                .mapToDouble(policy -> new OverlapPlay(day, policy).service())
                .max()
                .orElseThrow();
        return new Played(day, real, best);
    }

    private static void assertNearBest(LongStream seeds, LongFunction<Day> day) {
        List<Played> all =
                seeds.parallel().mapToObj(day).map(OverlapSeedsTest::play).toList();
        double mean = all.stream().mapToDouble(Played::part).average().orElseThrow();
        assertTrue(mean >= MEAN_PART, () -> "on average " + mean + " of the best: " + all);
        all.forEach(one -> assertTrue(one.part() >= LEAST_PART, () -> one.part() + " of the best: " + one));
    }

    @Test
    void shouldServeNearlyAsMuchAsTheBestWayOfEachDay() {
        assertNearBest(LongStream.range(0, DAYS), Day::of);
    }

    /** As on a day of 55 agents on which hardly anything was served for ten seconds. */
    @Test
    void shouldServeNearlyAsMuchAsTheBestWayWhenOriginGoesAwayJustAfterTheSecondNaming() {
        assertNearBest(
                LongStream.range(0, DAYS / 2),
                seed -> new Day(
                        seed,
                        55,
                        50 + seed % 3 * 5,
                        1_900 + seed % 7 * 50,
                        2_300 + seed % 9 * 50,
                        6_000 + seed % 11 * 100,
                        0));
    }

    @Test
    void shouldKeepTheLimitsWhateverTheDay() {
        LongStream.range(DAYS, DAYS + MORE_DAYS)
                .parallel()
                .mapToObj(Day::of)
                .forEach(day -> new OverlapPlay(day, OverlapPolicies.real()).service());
    }
}
