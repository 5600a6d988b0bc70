package org.micabarrow.routing;

import java.util.Arrays;

/**
 * The slowness of an endpoint by the intervals between events of its streams. A pass that also reads a prompt takes
 * longer, so the shortest of the last passes counts. Not thread-safe: confined to one thread.
 */
final class StepPace {

    /** The passes of which the shortest counts: even under full load one of so many reads no prompt. */
    private static final int PASSES = 4;

    /** Ratio up to which the shortest pass may just have read a short prompt. */
    private static final double MIN_RATIO = 1.6;

    /** Decay time of what the passes showed, in milliseconds: the shortest moments of slowness last half a second. */
    private static final double DECAY_MILLIS = 500;

    private final double[] ratios = new double[PASSES];
    private double logShortest;
    private int passes;
    private long passedAtMillis;

    /**
     * Records the interval between two events of a stream. Streams of one pass count once.
     *
     * @param expectedMillis the duration of a pass without prompts
     * @param tookMillis the interval
     * @param nowMillis the time on the monotonic clock
     */
    void stepped(double expectedMillis, double tookMillis, long nowMillis) {
        if (!(expectedMillis > 0) || (passes > 0 && nowMillis - passedAtMillis < expectedMillis / 2)) {
            return;
        }
        ratios[passes % PASSES] = tookMillis / expectedMillis;
        passes++;
        passedAtMillis = nowMillis;
        double shortest = Arrays.stream(ratios).min().orElse(0);
        logShortest = shortest < MIN_RATIO ? 0 : Math.log(shortest);
    }

    /** Returns the logarithm of the slowness that all of the last passes showed; 0 if one was not slow. */
    double logFactor(double maxLogFactor) {
        return Math.min(logShortest, maxLogFactor);
    }

    /** Returns how far the passes are to be believed: between 0 for not at all, and 1. */
    double confidence(long nowMillis) {
        return passes < PASSES ? 0 : Math.exp(-Math.max(0, nowMillis - passedAtMillis) / DECAY_MILLIS);
    }
}
