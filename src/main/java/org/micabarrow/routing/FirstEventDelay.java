package org.micabarrow.routing;

/**
 * How much longer the first events of an endpoint's answers take than predicted. The prediction goes by the figures of the service, so
 * an endpoint that is slow for a while gets requests as if it were not, until its slots are taken. Answers loads on engines of which some
 * are slow, and large prompts that wait for each other. Used by one thread.
 */
public final class FirstEventDelay {

    /** The weight of the newest answer. */
    private static final double NEWEST_WEIGHT = 0.3;

    /**
     * How quickly the past is forgotten, in milliseconds: an endpoint that gets no requests because it was slow is tried again after
     * a few seconds.
     */
    private static final double MEMORY_MILLIS = 2_000;

    /** The greatest factor's logarithm, so that no single answer shuts an endpoint out for longer than it is remembered. */
    private static final double MOST_LOG = 2;

    private double logFactor;
    private long atMillis;

    /** Makes a record of an endpoint that is as quick as predicted. */
    public FirstEventDelay() {}

    /**
     * A first event came.
     *
     * @param predictedMillis when it was expected after the sending, this delay included
     * @param tookMillis when it came after the sending
     * @param nowMillis the time on the steady clock
     */
    public void observed(double predictedMillis, long tookMillis, long nowMillis) {
        double error = Math.log(Math.max(1, tookMillis) / Math.max(1, predictedMillis));
        logFactor = Math.clamp(logFactor(nowMillis) + NEWEST_WEIGHT * error, 0, MOST_LOG);
        atMillis = nowMillis;
    }

    /**
     * How many times as long as the figures of the service say a first event is expected to take.
     *
     * @param nowMillis the time on the steady clock
     * @return at least 1
     */
    public double factor(long nowMillis) {
        return Math.exp(logFactor(nowMillis));
    }

    private double logFactor(long nowMillis) {
        return logFactor * Math.exp(-(nowMillis - atMillis) / MEMORY_MILLIS);
    }
}
