package org.micabarrow.coordination.weights;

/**
 * How much of its link an instance gives to weights. Requests take precedence: when their answers begin clearly later
 * than they do without a transfer, the share falls; when they do not, it rises again.
 *
 * <p>Safe for any number of threads.
 *
 * <pre>{@code
 * share.began(firstByteMillis);
 * double part = share.share();
 * }</pre>
 */
public final class WeightShare {

    /** The least part of the link that weights get, so that a transfer always ends. */
    private static final double LEAST = 0.3;

    /** What a slower beginning of an answer multiplies the share by. */
    private static final double FALL = 0.9;

    /** What any other beginning adds to the share. */
    private static final double RISE = 0.01;

    /** How many times the usual beginning recent ones may take before the share falls. */
    private static final double SLOWER_ALLOWED = 1.25;

    /**
     * How much later, in milliseconds, answers may begin besides, so that chance does not count.
     */
    private static final double SLACK_MILLIS = 10;

    /** The weight of the newest answer in the usual beginning. */
    private static final double USUAL_WEIGHT = 0.01;

    /** The weight of the newest answer in the recent beginning. */
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
        boolean slower = recentMillis > usualMillis * SLOWER_ALLOWED + SLACK_MILLIS;
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
