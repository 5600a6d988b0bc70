package org.micabarrow.coordination.admission;

/**
 * Learns how many requests an endpoint can run at once: it rises while answers begin as quickly as they do without
 * load, and falls when they begin more slowly.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * if (limit.tryOpen(true)) { ... limit.close(firstByteMillis); }
 * }</pre>
 */
public final class ConcurrencyLimit {

    /** How many times the quickest beginning an answer may take before the limit falls. */
    private static final double SLOWER_ALLOWED = 2.0;

    /** What a slow beginning multiplies the limit by. */
    private static final double FALL = 0.9;

    /**
     * How much later, in milliseconds, an answer may begin besides, so that quick endpoints do not count as slow by
     * chance.
     */
    private static final double SLACK_MILLIS = 5;

    /**
     * What each answer multiplies the quickest beginning by, so that one unusually quick answer is forgotten in time.
     */
    private static final double FLOOR_DRIFT = 1.001;

    private final int least;
    private final int most;
    private double limit;
    private double quickestMillis = Double.MAX_VALUE;
    private int open;
    private int openLong;
    private boolean suggested;

    /**
     * Makes a limit.
     *
     * @param least it never falls below this
     * @param most it never rises above this
     * @param initial where it starts
     */
    public ConcurrencyLimit(int least, int most, int initial) {
        this.least = least;
        this.most = most;
        this.limit = initial;
    }

    /**
     * Takes a place, if there is one.
     *
     * @param shortRequest whether the request may use the room reserved for short ones
     * @return whether it may run
     */
    public synchronized boolean tryOpen(boolean shortRequest) {
        int now = limit();
        boolean full = open >= now || !shortRequest && openLong >= Math.max(1, now - Room.reservedForShort(now));
        if (full) {
            return false;
        }
        open++;
        openLong += shortRequest ? 0 : 1;
        return true;
    }

    /**
     * Gives a place back.
     *
     * @param shortRequest as it was taken
     */
    public synchronized void close(boolean shortRequest) {
        open--;
        openLong -= shortRequest ? 0 : 1;
    }

    /**
     * Learns from an answer that has begun.
     *
     * @param millis the time until it began
     */
    public synchronized void began(double millis) {
        quickestMillis = Math.min(quickestMillis * FLOOR_DRIFT, millis);
        boolean slow = millis > quickestMillis * SLOWER_ALLOWED + SLACK_MILLIS;
        if (slow) {
            limit = Math.max(least, limit * FALL);
        } else if (open >= limit - 1) {
            limit = Math.min(most, limit + 1 / limit);
        }
    }

    /**
     * Begins at what the endpoint says of itself; what is learned later counts for more.
     *
     * @param slots how many requests the endpoint says it can run at once
     */
    public synchronized void suggest(int slots) {
        if (!suggested) {
            suggested = true;
            limit = Math.clamp(slots, least, most);
        }
    }

    /**
     * The limit now.
     *
     * @return how many requests may run at once
     */
    public synchronized int limit() {
        return (int) limit;
    }

    /**
     * The requests that run.
     *
     * @return their number
     */
    public synchronized int open() {
        return open;
    }
}
