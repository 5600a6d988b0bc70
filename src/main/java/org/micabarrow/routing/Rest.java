package org.micabarrow.routing;

/**
 * The backoff that an endpoint has asked this process for, and the ramp-up after it. The ramp-up starts with one
 * request in flight and doubles the limit with each response; without it all waiting requests would reach the endpoint
 * at once. Not thread-safe: confined to one thread.
 */
public final class Rest {

    /** Number of requests in flight at which the ramp-up is complete. */
    private static final int AS_BEFORE = 32;

    /** Stands for an unlimited number of requests. */
    private static final int ANY = 0;

    private long untilMillis = Long.MIN_VALUE;
    private int most = ANY;

    /**
     * Records that the endpoint asked for a backoff.
     *
     * @param millis its duration in milliseconds; ignored if the active backoff lasts longer
     * @param nowMillis the time on the monotonic clock
     */
    public void asked(long millis, long nowMillis) {
        untilMillis = Math.max(untilMillis, nowMillis + millis);
        most = 1;
    }

    /**
     * Returns whether the backoff is active.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the backoff ends
     */
    public boolean lasts(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * Returns the remaining time of the backoff.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds; 0 if it has ended
     */
    public long leftMillis(long nowMillis) {
        return lasts(nowMillis) ? untilMillis - nowMillis : 0;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param requests the number of requests that this process has in flight at the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return false during the backoff, and after it while the ramp-up limit is reached
     */
    public boolean allows(int requests, long nowMillis) {
        return !lasts(nowMillis) && (most == ANY || requests < most);
    }

    /**
     * Records that the endpoint responded to a request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void answered(long nowMillis) {
        if (most != ANY && !lasts(nowMillis)) {
            most = most >= AS_BEFORE ? ANY : 2 * most;
        }
    }
}
