package org.micabarrow.routing;

/**
 * How many requests an entry lately had to turn away because no endpoint had room. Used by one thread.
 *
 * <p>By this agents deal out the free places of their endpoints. Dealt out by the requests that came, an entry with many
 * clients would keep more than its part, because it always has a request waiting when one of its places falls free.
 */
public final class UnmetDemand {

    /** How quickly the past is forgotten, in milliseconds: a burst shows within a second, single requests even out. */
    private static final double MEMORY_MILLIS = 1_000;

    private double perMemory;
    private long atMillis;

    /**
     * Counts a request that was turned away.
     *
     * @param nowMillis the time on the steady clock
     */
    public void turnedAway(long nowMillis) {
        perMemory = faded(nowMillis) + 1;
        atMillis = nowMillis;
    }

    /**
     * The requests turned away in about the last second.
     *
     * @param nowMillis the time on the steady clock
     * @return their number
     */
    public int lately(long nowMillis) {
        return (int) Math.round(faded(nowMillis));
    }

    private double faded(long nowMillis) {
        return perMemory * Math.exp((atMillis - nowMillis) / MEMORY_MILLIS);
    }
}
