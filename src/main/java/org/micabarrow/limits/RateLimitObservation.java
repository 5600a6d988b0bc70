package org.micabarrow.limits;

/** What an endpoint said of the requests that it takes, and when. */
public sealed interface RateLimitObservation {

    /**
     * When it was heard.
     *
     * @return the moment on the steady clock of whoever keeps this, in milliseconds
     */
    long atMillis();

    /**
     * The endpoint names a limit.
     *
     * @param perSecond the requests a second that it takes from all entries together, not below 0
     * @param atMillis when that was heard, on the steady clock
     */
    record Named(double perSecond, long atMillis) implements RateLimitObservation {

        /** Checks that the limit is a number of requests. */
        public Named {
            requireLimit(perSecond);
        }
    }

    /**
     * The endpoint names no limit any more.
     *
     * @param atMillis when that was heard, on the steady clock
     */
    record Ended(long atMillis) implements RateLimitObservation {}

    /**
     * Whether this was heard after something else.
     *
     * @param other what else was heard
     * @return true if it is the newer one
     */
    default boolean after(RateLimitObservation other) {
        return atMillis() > other.atMillis();
    }

    /**
     * Checks that a number can be a limit.
     *
     * @param perSecond requests a second
     * @throws IllegalArgumentException if it is below 0 or no number
     */
    static void requireLimit(double perSecond) {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new IllegalArgumentException("a limit of " + perSecond + " requests a second");
        }
    }
}
