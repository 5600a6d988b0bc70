package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.weights.OverlapSimulation.Scenario;

/**
 * Fleets of 4 to 300 agents with links of 2 to 40 Mbit/s, in which two versions are named 0.1 to 8 s apart while the
 * origin is unavailable for a random period, and agents restart and are paused. The simulation fails if an endpoint
 * serves a version past its limit, returns to an older one, or serves an unverified layer.
 */
class OverlapSimulationTest {

    private static final int SCENARIOS = 32;
    private static final int INVARIANT_SCENARIOS = 150;

    /**
     * The required service relative to that of the best simple policy, which is known only afterwards: on average and
     * at least.
     */
    private static final double MIN_MEAN_RATIO = 0.95;

    private static final double MIN_RATIO = 0.70;

    private record Outcome(Scenario scenario, double real, double best) {

        double ratio() {
            return real / best;
        }
    }

    private static Outcome simulate(Scenario scenario) {
        double real = new OverlapSimulation(scenario, SimulationPolicies.real()).run();
        double best = SimulationPolicies.simple().stream()
                .mapToDouble(policy -> new OverlapSimulation(scenario, policy).run())
                .max()
                .orElseThrow();
        return new Outcome(scenario, real, best);
    }

    private static void assertNearBest(LongStream seeds, LongFunction<Scenario> scenario) {
        List<Outcome> outcomes = seeds.parallel()
                .mapToObj(scenario)
                .map(OverlapSimulationTest::simulate)
                .toList();
        double mean = outcomes.stream().mapToDouble(Outcome::ratio).average().orElseThrow();
        assertTrue(mean >= MIN_MEAN_RATIO, () -> "on average " + mean + " of the best: " + outcomes);
        outcomes.forEach(outcome ->
                assertTrue(outcome.ratio() >= MIN_RATIO, () -> outcome.ratio() + " of the best: " + outcome));
    }

    @Test
    void shouldServeNearlyAsMuchAsBestSimplePolicy() {
        assertNearBest(LongStream.range(0, SCENARIOS), Scenario::of);
    }

    /** Like a day with 55 agents on which hardly anything was served for ten seconds. */
    @Test
    void shouldServeNearlyAsMuchAsBestSimplePolicyWhenOriginFailsJustAfterSecondNaming() {
        assertNearBest(
                LongStream.range(0, SCENARIOS / 2),
                seed -> new Scenario(
                        seed,
                        55,
                        50 + seed % 3 * 5,
                        1_900 + seed % 7 * 50,
                        2_300 + seed % 9 * 50,
                        6_000 + seed % 11 * 100,
                        0));
    }

    @Test
    void shouldKeepInvariantsInRandomScenarios() {
        LongStream.range(SCENARIOS, SCENARIOS + INVARIANT_SCENARIOS)
                .parallel()
                .mapToObj(Scenario::of)
                .forEach(scenario -> new OverlapSimulation(scenario, SimulationPolicies.real()).run());
    }
}
