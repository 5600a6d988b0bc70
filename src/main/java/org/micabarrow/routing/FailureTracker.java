package org.micabarrow.routing;

/**
 * Tracks the failures of recent requests at an endpoint and ejects it for a while because of them. Not thread-safe:
 * confined to one thread.
 */
public final class FailureTracker {

    /**
     * Duration of the ejection after the first of consecutive connection failures, in milliseconds; doubled by each
     * further one.
     */
    private static final long INITIAL_EJECTION_MILLIS = 1_000;

    /** Longest ejection, in milliseconds: a recovered endpoint gets traffic again within this time. */
    private static final long MAX_EJECTION_MILLIS = 8_000;

    /** Weight of the newest response in the smoothed failure ratio. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** Failure ratio above which an endpoint is ejected: well above the error ratio of healthy services. */
    private static final double MAX_FAILURE_RATIO = 0.5;

    private int consecutiveFailures;
    private double failureRatio;
    private long ejectedUntilMillis = Long.MIN_VALUE;

    /** Records a response that may be passed on. */
    public void succeeded() {
        consecutiveFailures = 0;
        failureRatio *= 1 - FAILURE_SMOOTHING;
    }

    /**
     * Records a connection that failed or broke, or a response that does not belong to the request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void connectionFailed(long nowMillis) {
        long ejectionMillis = INITIAL_EJECTION_MILLIS << Math.min(consecutiveFailures, 3);
        consecutiveFailures++;
        ejectedUntilMillis = nowMillis + Math.min(ejectionMillis, MAX_EJECTION_MILLIS);
    }

    /**
     * Records a response with an error of the endpoint itself.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void errorReceived(long nowMillis) {
        failureRatio += (1 - failureRatio) * FAILURE_SMOOTHING;
        if (failureRatio > MAX_FAILURE_RATIO) {
            ejectedUntilMillis = nowMillis + INITIAL_EJECTION_MILLIS;
        }
    }

    /**
     * Records that another endpoint responded at the address, or that the endpoint holds another weight version than
     * requested: its registration is out of date.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void misdirected(long nowMillis) {
        ejectedUntilMillis = Math.max(ejectedUntilMillis, nowMillis + INITIAL_EJECTION_MILLIS);
    }

    /**
     * Returns whether the endpoint is ejected because of failures.
     *
     * @param nowMillis the time on the monotonic clock
     * @return true until the ejection ends
     */
    public boolean ejected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }
}
