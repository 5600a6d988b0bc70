package org.micabarrow.play;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.play.LoadSetting.Moments;
import org.micabarrow.play.LoadSetting.Patience;
import org.micabarrow.play.LoadSetting.ToldPace;
import org.micabarrow.play.LoadSetting.Uneven;
import org.micabarrow.routing.ModelProfile;

/** What callers get when endpoints are uneven. */
class UnevenLoadPlayTest {

    private static final ModelProfile MODEL = new ModelProfile("m", 16, 30.6, 6.73, 0.03, 6, 16, 64, 32_768);
    private static final Moments MOMENTS = new Moments(1.0 / 7, 2.5, 500, 3_000);

    /** Nine tenths of what the engines can begin, all at their usual speed. */
    private static final double PER_SECOND = 0.89 * 285;

    private static final int SEEDS = 4;

    private static Tally play(Uneven uneven, long seed) {
        List<Double> alike = Stream.generate(() -> 1.0 / 13).limit(13).toList();
        return LoadPlay.play(
                new LoadSetting(
                        alike,
                        24,
                        MODEL,
                        PER_SECOND,
                        150,
                        150,
                        true,
                        0.3,
                        new Patience(0.07, true),
                        Optional.empty(),
                        uneven,
                        seed),
                20);
    }

    private static double inTimePart(Uneven uneven) {
        return LongStream.range(0, SEEDS)
                .mapToDouble(seed -> play(uneven, seed).inTimePart())
                .average()
                .orElseThrow();
    }

    /** Before endpoints' paces were used: 0.85 in time, whatever they reported. */
    @Test
    void shouldAnswerInTimeWhenEndpointsAreSlowByMomentsAndReportIt() {
        double even = inTimePart(Uneven.NONE);
        assertTrue(inTimePart(Uneven.NONE.with(MOMENTS, ToldPace.TRUE)) > 0.9 * even);
    }

    /** Reports that lie or are no numbers cost no more than reports that are missing: all but a few in a hundred. */
    @ParameterizedTest
    @EnumSource(
            value = ToldPace.class,
            names = {"ALWAYS_USUAL", "INVERTED", "ABSURD"})
    void shouldLoseLittleWhenReportsAreWrong(ToldPace wrong) {
        double without = inTimePart(Uneven.NONE.with(MOMENTS, ToldPace.NOTHING));
        assertTrue(inTimePart(Uneven.NONE.with(MOMENTS, wrong)) > 0.95 * without);
    }
}
