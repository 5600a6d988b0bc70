package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.weights.VersionBoundSimulation.Pauses;
import org.micabarrow.weights.VersionBoundSimulation.Scenario;

/**
 * No request begins on a version past its bound, whoever is paused, learns late or is reached slowly, and service goes
 * on until the bound less what is guarded against, at every bound.
 */
class VersionBoundTest {

    private static final int INSTANCES = 9;
    private static final int ENTRIES = 4;
    private static final int SEEDS = 12;
    private static final int PAUSE_SEEDS = 40;
    private static final long NAMED_MILLIS = 1_000;

    /** The cordon and the stop allowance, a controller's step, and the time until an entry's next request. */
    private static final long MAX_GIVEN_AWAY_MILLIS = 500 + 1_280 + 50 + 50;

    /** The time for an order to an endpoint that serves nothing, a controller's step, and until entries know. */
    private static final long MAX_TAKE_UP_MILLIS = 300 + 50 + 480 + 250;

    /** A switch of an endpoint that serves takes this long on average. */
    private static final long SWITCH_MILLIS = 2_600;

    static Stream<Arguments> seedsAndBounds() {
        return seedsAndBounds(PAUSE_SEEDS, LongStream.of(2_000, 8_000, 10_300, 13_400));
    }

    static Stream<Arguments> seedsAndLongBounds() {
        return seedsAndBounds(SEEDS, LongStream.of(8_000, 10_300, 13_400));
    }

    private static Stream<Arguments> seedsAndBounds(int seeds, LongStream bounds) {
        return bounds.boxed().flatMap(bound -> LongStream.range(0, seeds).mapToObj(seed -> Arguments.of(seed, bound)));
    }

    private static VersionBoundSimulation play(Scenario scenario, long millis) {
        VersionBoundSimulation simulation = new VersionBoundSimulation(scenario, INSTANCES, ENTRIES);
        simulation.run(millis);
        assertEquals(0, simulation.begunTooLate(), () -> "begun too late: " + scenario);
        assertEquals(0, simulation.stoppedTooLate(), () -> "stopped too late: " + scenario);
        return simulation;
    }

    @ParameterizedTest
    @MethodSource("seedsAndBounds")
    void shouldBeginNothingTooLateWhenInstancesArePaused(long seed, long bound) {
        play(
                new Scenario(seed, bound, List.of(NAMED_MILLIS), List.of(), Pauses.AROUND_STOP, OptionalLong.empty()),
                NAMED_MILLIS + bound + 4_000);
    }

    /** Agents and the sources of the entries are paused for longer than any allowance. */
    @ParameterizedTest
    @MethodSource("seedsAndBounds")
    void shouldBeginNothingTooLateWhenAgentsAndEntriesArePausedAtNaming(long seed, long bound) {
        play(
                new Scenario(seed, bound, List.of(NAMED_MILLIS), List.of(), Pauses.AT_NAMING, OptionalLong.empty()),
                NAMED_MILLIS + bound + 8_000);
    }

    @ParameterizedTest
    @MethodSource("seedsAndLongBounds")
    void shouldServeUntilBoundLessAllowancesWhenNewerVersionHasNoSource(long seed, long bound) {
        VersionBoundSimulation simulation = play(
                new Scenario(seed, bound, List.of(NAMED_MILLIS), List.of(), Pauses.AROUND_STOP, OptionalLong.empty()),
                NAMED_MILLIS + bound + 2_000);
        long servedMillis = simulation.lastBegunOnFirstMillis() - NAMED_MILLIS;
        assertTrue(servedMillis >= bound - MAX_GIVEN_AWAY_MILLIS, "served for " + servedMillis + " ms of " + bound);
    }

    @ParameterizedTest
    @MethodSource("seedsAndLongBounds")
    void shouldServeAgainAtOnceWhenCopyComesAfterBound(long seed, long bound) {
        long copiedMillis = NAMED_MILLIS + bound + 3_000;
        VersionBoundSimulation simulation = play(
                new Scenario(
                        seed,
                        bound,
                        List.of(NAMED_MILLIS),
                        List.of(copiedMillis),
                        Pauses.AROUND_STOP,
                        OptionalLong.empty()),
                copiedMillis + 4_000);
        long neededMillis = copiedMillis - NAMED_MILLIS - bound + MAX_GIVEN_AWAY_MILLIS + MAX_TAKE_UP_MILLIS;
        assertTrue(
                simulation.longestGapMillis() <= neededMillis,
                "without service for " + simulation.longestGapMillis() + " ms");
    }

    /** Copies take less than the bound, so there is always an endpoint that may serve, but for its switch. */
    @ParameterizedTest
    @MethodSource("seedsAndLongBounds")
    void shouldKeepServingWhenVersionIsNamedEveryTwoSeconds(long seed, long bound) {
        List<Long> named =
                LongStream.range(0, 5).mapToObj(i -> NAMED_MILLIS + 2_000 * i).toList();
        List<Long> copied = named.stream().map(at -> at + 4_300).toList();
        VersionBoundSimulation simulation = play(
                new Scenario(seed, bound, named, copied, Pauses.AROUND_STOP, OptionalLong.of(NAMED_MILLIS + 3_000)),
                NAMED_MILLIS + 2_000 * 5 + bound + 4_000);
        assertTrue(
                simulation.longestGapMillis() <= SWITCH_MILLIS,
                "without service for " + simulation.longestGapMillis() + " ms");
    }
}
