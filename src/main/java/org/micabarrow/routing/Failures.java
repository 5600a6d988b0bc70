package org.micabarrow.routing;

/**
 * Tracks the failures of recent requests at an endpoint and ejects it for a while because of them. Not thread-safe:
 * confined to one thread.
 */
public final class Failures {

    /**
     * Duration of the ejection after the first of consecutive connection failures, in milliseconds; doubled by each
     * further one.
     */
    private static final long FIRST_EXCLUSION_MILLIS = 1_000;

    /** Longest ejection, in milliseconds: a recovered endpoint gets traffic again within this time. */
    private static final long LONGEST_EXCLUSION_MILLIS = 8_000;

    /** Weight of the newest response in the smoothed failure ratio. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** Failure ratio above which an endpoint is ejected: well above the error ratio of healthy services. */
    private static final double FAILURE_SHARE = 0.5;

    private int inARow;
    private double share;
    private long excludedUntilMillis = Long.MIN_VALUE;

    /** Records a response that may be passed on. */
    public void succeeded() {
        inARow = 0;
        share *= 1 - FAILURE_SMOOTHING;
    }

    /**
     * Records a connection that failed or broke, or a response that does not belong to the request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void broke(long nowMillis) {
        long exclusion = FIRST_EXCLUSION_MILLIS << Math.min(inARow, 3);
        inARow++;
        excludedUntilMillis = nowMillis + Math.min(exclusion, LONGEST_EXCLUSION_MILLIS);
    }

    /**
     * Records a response with an error of the endpoint itself.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void failed(long nowMillis) {
        share += (1 - share) * FAILURE_SMOOTHING;
        if (share > FAILURE_SHARE) {
            excludedUntilMillis = nowMillis + FIRST_EXCLUSION_MILLIS;
        }
    }

    /**
     * Records that another endpoint responded at the address, or that the endpoint holds another weight version than
     * requested: its registration is out of date.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void misdirected(long nowMillis) {
        excludedUntilMillis = Math.max(excludedUntilMillis, nowMillis + FIRST_EXCLUSION_MILLIS);
    }

    /**
     * Returns whether the endpoint is ejected because of failures.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the ejection ends
     */
    public boolean excluded(long nowMillis) {
        return nowMillis < excludedUntilMillis;
    }
}
