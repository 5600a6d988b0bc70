package org.micabarrow.routing;

/**
 * The backoff that an endpoint has requested from this process, and the ramp-up after it. The ramp-up starts with one
 * request in flight and doubles the limit with each response; without it all waiting requests would reach the endpoint
 * at once. Not thread-safe: confined to one thread.
 */
public final class Backoff {

    /** Number of requests in flight at which the ramp-up is complete. */
    private static final int RAMP_UP_END = 32;

    /** Denotes an unlimited number of requests. */
    private static final int UNLIMITED = 0;

    private long untilMillis = Long.MIN_VALUE;
    private int maxInFlight = UNLIMITED;

    /**
     * Records that the endpoint requested a backoff.
     *
     * @param millis its duration in milliseconds; ignored if the active backoff lasts longer
     * @param nowMillis the time on the monotonic clock
     */
    public void requested(long millis, long nowMillis) {
        untilMillis = Math.max(untilMillis, nowMillis + millis);
        maxInFlight = 1;
    }

    /**
     * Returns whether the backoff is active.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the backoff ends
     */
    public boolean active(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * Returns the remaining time of the backoff.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds; 0 if it has ended
     */
    public long remainingMillis(long nowMillis) {
        return active(nowMillis) ? untilMillis - nowMillis : 0;
    }

    /**
     * Returns whether one more request may be sent.
     *
     * @param requests the number of requests that this process has in flight at the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return false during the backoff, and after it while the ramp-up limit is reached
     */
    public boolean allows(int requests, long nowMillis) {
        return !active(nowMillis) && (maxInFlight == UNLIMITED || requests < maxInFlight);
    }

    /**
     * Records that the endpoint responded to a request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void responded(long nowMillis) {
        if (maxInFlight != UNLIMITED && !active(nowMillis)) {
            maxInFlight = maxInFlight >= RAMP_UP_END ? UNLIMITED : 2 * maxInFlight;
        }
    }
}
