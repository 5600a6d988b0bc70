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

    /**
     * Returns whether an endpoint is mute: its streams have been silent for much longer than usual while others step
     * on. Without many streams nothing is known.
     *
     * @param silentMillis the time for which it has sent nothing to any stream
     * @param objectiveMillis the objective, the longest time that is waited for
     * @param nowMillis the time on the monotonic clock
     * @return false also if no stream gets events, since the entry itself may be cut off
     */
    boolean mute(long silentMillis, long objectiveMillis, long nowMillis) {
        return recorded >= REMEMBERED
                && silentMillis > Math.min(limitMillis, objectiveMillis)
                && nowMillis - lastEventMillis < MIN_SILENCE_MILLIS;
    }
}
