package org.micabarrow.play;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.play.ColdPlay.Trouble;

/** A cold endpoint gets no more than it bears from all entries together; with {@code coldSeeds} more seeds are played. */
class ColdPlayTest {

    private static final int SEEDS = Integer.getInteger("coldSeeds", 1);

    /** How many times the limit a cold endpoint may get in a second, and how many requests more. */
    private static final double OVERSHOOT = 1.5;

    private static final double SLACK = 5;

    static Stream<Arguments> settings() {
        return Stream.of(Trouble.values())
                .flatMap(trouble -> Stream.of(3.0, 28.0)
                        .flatMap(perSecond -> IntStream.range(0, SEEDS)
                                .mapToObj(seed -> Arguments.of(perSecond, trouble, 80_000L + seed))));
    }

    private static long maxInOneSecond(List<Double> arrivals) {
        return arrivals.stream()
                .mapToLong(from -> arrivals.stream()
                        .filter(at -> at >= from && at < from + 1_000)
                        .count())
                .max()
                .orElse(0);
    }

    @ParameterizedTest
    @MethodSource("settings")
    void shouldKeepWithinWhatColdEndpointsBear(double perSecond, Trouble trouble, long seed) {
        ColdPlay play = ColdPlay.play(perSecond, trouble, seed);
        long max = play.arrivalsWhileCold().stream()
                .mapToLong(ColdPlayTest::maxInOneSecond)
                .max()
                .orElseThrow();
        double allowed = perSecond * OVERSHOOT + SLACK;
        assertTrue(max <= allowed, max + " requests in one second, allowed " + allowed);
    }

    @ParameterizedTest
    @ValueSource(longs = {80_000, 80_001})
    void shouldUseWhatColdEndpointsBearWhenWarmOnesAreFull(long seed) {
        ColdPlay play = ColdPlay.play(10, Trouble.NONE, seed);
        double from = ColdPlay.STARTED_AT_MILLIS + 2_000;
        double to = ColdPlay.STARTED_AT_MILLIS + ColdPlay.COLD_MILLIS;
        double borne = 10 * ColdPlay.ENDPOINTS / 2 * (to - from) / 1_000;
        long used = play.arrivalsAtStarted(from, to);
        assertTrue(used > 0.7 * borne, used + " of " + borne + " requests");
    }
}
