package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.weights.OverlapSimulation.Day;

/**
 * Fleets of 4 to 300 agents with links of 2 to 40 Mbit/s, in which two versions are named 0.1 to 8 s apart while the
 * origin is unavailable for a random period, and agents restart and are paused. The simulation fails if an endpoint
 * serves a version past its limit, returns to an older one, or serves an unverified layer.
 */
class OverlapSimulationTest {

    private static final int DAYS = 32;
    private static final int MORE_DAYS = 150;

    /**
     * The required service relative to that of the best simple policy, which is known only afterwards: on average and
     * at least.
     */
    private static final double MEAN_PART = 0.95;

    private static final double LEAST_PART = 0.70;

    private record Played(Day day, double real, double best) {

        double part() {
            return real / best;
        }
    }

    private static Played play(Day day) {
        double real = new OverlapSimulation(day, SimulationPolicies.real()).service();
        double best = SimulationPolicies.plain().stream()
                .mapToDouble(policy -> new OverlapSimulation(day, policy).service())
                .max()
                .orElseThrow();
        return new Played(day, real, best);
    }

    private static void assertNearBest(LongStream seeds, LongFunction<Day> day) {
        List<Played> all =
                seeds.parallel().mapToObj(day).map(OverlapSimulationTest::play).toList();
        double mean = all.stream().mapToDouble(Played::part).average().orElseThrow();
        assertTrue(mean >= MEAN_PART, () -> "on average " + mean + " of the best: " + all);
        all.forEach(one -> assertTrue(one.part() >= LEAST_PART, () -> one.part() + " of the best: " + one));
    }

    @Test
    void shouldServeNearlyAsMuchAsTheBestWayOfEachDay() {
        assertNearBest(LongStream.range(0, DAYS), Day::of);
    }

    /** Like a day with 55 agents on which hardly anything was served for ten seconds. */
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
                .forEach(day -> new OverlapSimulation(day, SimulationPolicies.real()).service());
    }
}
