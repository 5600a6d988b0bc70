package org.micabarrow.coordination.admission;

/**
 * Adaptive limit on the number of requests that run at an endpoint concurrently. It increases while the time to first byte
 * stays close to that of an idle endpoint, and decreases when responses start more slowly.
 *
 * <p>Thread-safe.
 *
 * <pre>{@code
 * if (limit.tryAcquire(true)) { ... limit.release(firstByteMillis); }
 * }</pre>
 */
public final class ConcurrencyLimit {

    /** The multiple of the baseline time to first byte up to which a response does not count as slow. */
    private static final double SLOW_FACTOR = 2.0;

    /** The factor by which the limit decreases after a slow response. */
    private static final double DECREASE_FACTOR = 0.9;

    /**
     * Additional tolerance for the time to first byte, in milliseconds, so that small variations at fast endpoints do not
     * count as slow.
     */
    private static final double SLACK_MILLIS = 5;

    /**
     * The factor by which the baseline increases with each response, so that a single unusually fast response loses its
     * influence over time.
     */
    private static final double BASELINE_DRIFT = 1.001;

    private final int min;
    private final int max;
    private double limit;
    private double baselineMillis = Double.MAX_VALUE;
    private int inFlight;
    private int longInFlight;
    private boolean initialized;

    /**
     * Creates a limit.
     *
     * @param min the minimum of the limit
     * @param max the maximum of the limit
     * @param initial the initial limit
     */
    public ConcurrencyLimit(int min, int max, int initial) {
        this.min = min;
        this.max = max;
        this.limit = initial;
    }

    /**
     * Acquires a slot if one is free.
     *
     * @param shortRequest whether the request may use the slots reserved for short requests
     * @return whether a slot was acquired
     */
    public synchronized boolean tryAcquire(boolean shortRequest) {
        int currentLimit = limit();
        boolean full = inFlight >= currentLimit
                || !shortRequest
                        && longInFlight >= Math.max(1, currentLimit - ReservedSlots.forShortRequests(currentLimit));
        if (full) {
            return false;
        }
        inFlight++;
        longInFlight += shortRequest ? 0 : 1;
        return true;
    }

    /**
     * Releases a slot.
     *
     * @param shortRequest the value with which the slot was acquired
     */
    public synchronized void release(boolean shortRequest) {
        inFlight--;
        longInFlight -= shortRequest ? 0 : 1;
    }

    /**
     * Adjusts the limit to the time to first byte of a response.
     *
     * @param millis the time to first byte, in milliseconds
     */
    public synchronized void recordFirstByte(double millis) {
        baselineMillis = Math.min(baselineMillis * BASELINE_DRIFT, millis);
        boolean slow = millis > baselineMillis * SLOW_FACTOR + SLACK_MILLIS;
        if (slow) {
            limit = Math.max(min, limit * DECREASE_FACTOR);
        } else if (inFlight >= limit - 1) {
            limit = Math.min(max, limit + 1 / limit);
        }
    }

    /**
     * Initializes the limit with the slots that the endpoint reports. Only the first call has an effect; after it the limit
     * follows the measurements.
     *
     * @param slots the number of requests that the endpoint reports it can run concurrently
     */
    public synchronized void initialize(int slots) {
        if (!initialized) {
            initialized = true;
            limit = Math.clamp(slots, min, max);
        }
    }

    /**
     * The current limit.
     *
     * @return the maximum number of concurrent requests
     */
    public synchronized int limit() {
        return (int) limit;
    }

    /**
     * The number of requests in flight.
     *
     * @return the count
     */
    public synchronized int inFlight() {
        return inFlight;
    }
}
