package org.micabarrow.routing;

/**
 * Measures how much longer the first events of an endpoint's responses take than predicted. The prediction is based on
 * the service's model profile, so without this correction a temporarily slow endpoint would get requests like any other
 * until its slots are occupied. Covers engines that are slow for a while and large prompts that wait for each other.
 * Not thread-safe: confined to one thread.
 */
public final class FirstEventDelay {

    /** Weight of the newest response. */
    private static final double NEWEST_WEIGHT = 0.3;

    /**
     * Decay time of past measurements, in milliseconds: an endpoint that gets no requests because it was slow is tried
     * again after a few seconds.
     */
    private static final double DECAY_MILLIS = 2_000;

    /**
     * Upper bound of the factor's logarithm, so that a single response does not exclude an endpoint for longer than it
     * is remembered.
     */
    private static final double MAX_LOG_FACTOR = 2;

    private double logFactor;
    private long updatedAtMillis;

    /** Creates a measurement that corrects nothing. */
    public FirstEventDelay() {}

    /**
     * Records the first event of a response.
     *
     * @param predictedMillis the predicted time from the attempt to the first event, this correction included
     * @param tookMillis the actual time
     * @param nowMillis the time on the monotonic clock
     */
    public void observed(double predictedMillis, long tookMillis, long nowMillis) {
        double error = Math.log(Math.max(1, tookMillis) / Math.max(1, predictedMillis));
        logFactor = Math.clamp(logFactor(nowMillis) + NEWEST_WEIGHT * error, 0, MAX_LOG_FACTOR);
        updatedAtMillis = nowMillis;
    }

    /**
     * Returns the factor by which first events are expected to take longer than the model profile predicts.
     *
     * @param nowMillis the time on the monotonic clock
     * @return at least 1
     */
    public double factor(long nowMillis) {
        return Math.exp(logFactor(nowMillis));
    }

    private double logFactor(long nowMillis) {
        return logFactor * Math.exp(-(nowMillis - updatedAtMillis) / DECAY_MILLIS);
    }
}
