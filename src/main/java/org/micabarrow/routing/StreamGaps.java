package org.micabarrow.routing;

import java.util.Arrays;

/**
 * The recent gaps between events of all streams of an entry. An endpoint whose streams are silent for much longer is
 * mute. Not thread-safe: confined to one thread.
 */
public final class StreamGaps {

    /** Number of gaps that are remembered: some tenths of a second at a few streams an endpoint. */
    private static final int REMEMBERED = 128;

    /** Fraction of the gaps that are shorter than the usual limit: slow engines and long prompts are the rest. */
    private static final double USUAL_QUANTILE = 0.95;

    /** Multiple of the usual gap from which on an endpoint is mute: even an engine in a slow moment is faster. */
    private static final double MUTE_FACTOR = 3;

    /** Shortest silence that counts, in milliseconds: a garbage collection or a lost packet takes as long. */
    private static final long MIN_SILENCE_MILLIS = 200;

    private final long[] gaps = new long[REMEMBERED];
    private long recorded;
    private long lastEventMillis = Long.MIN_VALUE / 2;
    private long limitMillis = Long.MAX_VALUE;

    /** Records an event of a stream that was awaited for some time. */
    void event(long gapMillis, long nowMillis) {
        gaps[(int) (recorded % REMEMBERED)] = Math.max(0, gapMillis);
        recorded++;
        lastEventMillis = nowMillis;
        if (recorded >= REMEMBERED && recorded % (REMEMBERED / 4) == 0) {
            long[] sorted = gaps.clone();
            Arrays.sort(sorted);
            long usualMillis = sorted[(int) (USUAL_QUANTILE * (REMEMBERED - 1))];
            limitMillis = Math.max(MIN_SILENCE_MILLIS, Math.round(MUTE_FACTOR * usualMillis));
        }
    }

    /** Returns the silence, in milliseconds, from which on an endpoint whose streams have begun is mute. */
    long limitMillis() {
        return limitMillis;
    }

    /**
     * Returns whether streams get events. Without many of them nothing is known; if none gets any, the entry itself may
     * be cut off.
     */
    boolean stepping(long nowMillis) {
        return recorded >= REMEMBERED && nowMillis - lastEventMillis < MIN_SILENCE_MILLIS;
    }
}
