package org.micabarrow.routing;

/** How the last requests at an endpoint ended, and until when it is left out because of that. Used by one thread. */
public final class FailureTracker {

    /** How long an endpoint is left out after the first failure in a row, in milliseconds; doubled by each further one. */
    private static final long FIRST_EXCLUSION_MILLIS = 1_000;

    /** The longest exclusion, in milliseconds: an endpoint that is back gets traffic again within this. */
    private static final long LONGEST_EXCLUSION_MILLIS = 8_000;

    /** The weight of the newest answer in the share of failures. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** The share of failed answers from which an endpoint is left out: well above the errors that healthy services give. */
    private static final double FAILURE_SHARE = 0.5;

    private int inARow;
    private double share;
    private long excludedUntilMillis = Long.MIN_VALUE;

    /** The endpoint gave an answer that may be passed on. */
    public void succeeded() {
        inARow = 0;
        share *= 1 - FAILURE_SMOOTHING;
    }

    /**
     * A connection failed, broke, or gave what is no answer.
     *
     * @param nowMillis the time on the steady clock
     */
    public void broke(long nowMillis) {
        long exclusion = FIRST_EXCLUSION_MILLIS << Math.min(inARow, 3);
        inARow++;
        excludedUntilMillis = nowMillis + Math.min(exclusion, LONGEST_EXCLUSION_MILLIS);
    }

    /**
     * The endpoint answered with an error of its own.
     *
     * @param nowMillis the time on the steady clock
     */
    public void failed(long nowMillis) {
        share += (1 - share) * FAILURE_SMOOTHING;
        if (share > FAILURE_SHARE) {
            excludedUntilMillis = nowMillis + FIRST_EXCLUSION_MILLIS;
        }
    }

    /**
     * At the endpoint's address is another one, or it holds another weight version than is wanted: its entry is older than
     * what it tells of itself.
     *
     * @param nowMillis the time on the steady clock
     */
    public void misdirected(long nowMillis) {
        excludedUntilMillis = Math.max(excludedUntilMillis, nowMillis + FIRST_EXCLUSION_MILLIS);
    }

    /**
     * Whether the endpoint is left out because of failures.
     *
     * @param nowMillis the time on the steady clock
     * @return true until the exclusion ends
     */
    public boolean excluded(long nowMillis) {
        return nowMillis < excludedUntilMillis;
    }
}
