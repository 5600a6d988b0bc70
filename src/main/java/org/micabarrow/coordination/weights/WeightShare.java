package org.micabarrow.coordination.weights;

/**
 * How much of its link an instance gives to weights. Live requests go first: when their answers begin clearly later than
 * they do without a transfer, weights give way; when they do not, weights take more again.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * share.began(firstByteMillis);
 * double part = share.share();
 * }</pre>
 */
public final class WeightShare {

    private static final double LEAST = 0.3;
    private static final double FALL = 0.9;
    private static final double RISE = 0.01;
    private static final double SLOWER_BORNE = 1.25;
    private static final double SLACK_MILLIS = 10;
    private static final double USUAL_WEIGHT = 0.01;
    private static final double RECENT_WEIGHT = 0.1;

    private volatile double share = 1;
    private double usualMillis;
    private double recentMillis;

    /**
     * Learns from an answer that has begun.
     *
     * @param millis the time until it began
     */
    public synchronized void began(double millis) {
        if (usualMillis == 0) {
            usualMillis = millis;
            recentMillis = millis;
        }
        usualMillis += (millis - usualMillis) * USUAL_WEIGHT;
        recentMillis += (millis - recentMillis) * RECENT_WEIGHT;
        boolean slower = recentMillis > usualMillis * SLOWER_BORNE + SLACK_MILLIS;
        share = slower ? Math.max(LEAST, share * FALL) : Math.min(1, share + RISE);
    }

    /**
     * The part of the link that weights may take.
     *
     * @return from 0.3 to 1
     */
    public double share() {
        return share;
    }
}
