package org.micabarrow.routing;

/**
 * How much longer the first events of an endpoint's responses take than predicted from its model profile and from what
 * is known of its engine. Covers prompts that wait for each other and slowness that nothing else shows. Not
 * thread-safe: confined to one thread.
 */
final class FirstEventError {

    /** Weight of the newest response. */
    private static final double NEWEST_WEIGHT = 0.3;

    /**
     * Decay time of past measurements, in milliseconds: an endpoint that gets no requests because it was slow is tried
     * again after a few seconds.
     */
    private static final double DECAY_MILLIS = 2_000;

    private double logFactor;
    private long updatedAtMillis;

    /**
     * Records the first event of a response.
     *
     * @param logError the logarithm of the actual over the predicted time, this correction included in the prediction
     * @param min the lowest logarithm that the correction may have
     * @param max the highest
     * @param nowMillis the time on the monotonic clock
     */
    void observed(double logError, double min, double max, long nowMillis) {
        logFactor = Math.clamp(logFactor(nowMillis) + NEWEST_WEIGHT * logError, min, max);
        updatedAtMillis = nowMillis;
    }

    /** Returns the logarithm of the factor by which first events take longer. */
    double logFactor(long nowMillis) {
        return logFactor * Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / DECAY_MILLIS);
    }
}
