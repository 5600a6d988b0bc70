package org.micabarrow.routing;

/**
 * Counts the requests that an entry recently refused because no endpoint had capacity. Not thread-safe: confined to one
 * thread.
 *
 * <p>Agents allot the free slots of their endpoints in proportion to this count. In proportion to the requests
 * received, an entry with many clients would keep more than its fair share, because it always has a request waiting
 * when one of its slots becomes free.
 */
public final class UnmetDemand {

    /** Decay time of the count, in milliseconds: a burst has its effect within a second, single requests even out. */
    private static final double DECAY_MILLIS = 1_000;

    private double count;
    private long updatedAtMillis;

    /**
     * Counts a refused request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void refused(long nowMillis) {
        count = decayed(nowMillis) + 1;
        updatedAtMillis = nowMillis;
    }

    /**
     * Returns the number of requests refused in about the last second.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the decayed count
     */
    public int recent(long nowMillis) {
        return (int) Math.round(decayed(nowMillis));
    }

    private double decayed(long nowMillis) {
        return count * Math.exp((updatedAtMillis - nowMillis) / DECAY_MILLIS);
    }
}
