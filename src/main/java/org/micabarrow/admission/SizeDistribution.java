package org.micabarrow.admission;

import java.util.Arrays;
import java.util.OptionalInt;

/** The distribution of the sizes of recent requests of one kind. Not thread-safe: confined to one thread. */
final class SizeDistribution {

    private static final int SAMPLE_COUNT = 64;

    /** Number of samples from which on quantiles are known. */
    private static final int MIN_SAMPLES = 8;

    /** Number of samples after which the quantiles are computed again. */
    private static final int REFRESH_SAMPLES = 16;

    private static final double LARGEST_QUANTILE = 0.9;
    private static final double LARGE_QUANTILE = 0.7;
    private static final double MEDIAN_QUANTILE = 0.5;

    /** Ring buffer of the last sizes. */
    private final int[] samples = new int[SAMPLE_COUNT];

    private int[] sorted = new int[0];
    private int count;

    void add(int tokens) {
        samples[Math.floorMod(count, SAMPLE_COUNT)] = tokens;
        count++;
        if (count % REFRESH_SAMPLES == MIN_SAMPLES) {
            sorted = Arrays.copyOf(samples, Math.min(count, SAMPLE_COUNT));
            Arrays.sort(sorted);
        }
    }

    SizeBand band(int tokens) {
        if (sorted.length == 0 || tokens <= quantile(LARGE_QUANTILE)) {
            return SizeBand.USUAL;
        }
        return tokens > quantile(LARGEST_QUANTILE) ? SizeBand.LARGEST : SizeBand.LARGE;
    }

    /** Returns a size that half of the samples exceed; empty while quantiles are not known. */
    OptionalInt median() {
        return sorted.length == 0 ? OptionalInt.empty() : OptionalInt.of(quantile(MEDIAN_QUANTILE));
    }

    private int quantile(double fraction) {
        return sorted[(int) (fraction * (sorted.length - 1))];
    }
}
