package org.micabarrow.limits;

/** What an endpoint stated about its rate limit, and when. */
public sealed interface RateLimitObservation {

    /**
     * Returns the time at which the statement was received.
     *
     * @return the time on the monotonic clock of the process that holds this observation, in milliseconds
     */
    long atMillis();

    /**
     * The endpoint states a limit.
     *
     * @param perSecond the requests per second that it accepts from all entries together, not below 0
     * @param atMillis the time at which the statement was received, on the monotonic clock
     */
    record Stated(double perSecond, long atMillis) implements RateLimitObservation {

        /** Checks that the limit is valid. */
        public Stated {
            requireValidLimit(perSecond);
        }
    }

    /**
     * The endpoint no longer states a limit.
     *
     * @param atMillis the time at which that was received, on the monotonic clock
     */
    record Lifted(long atMillis) implements RateLimitObservation {}

    /**
     * Returns whether this observation is newer than another.
     *
     * @param other the other observation
     * @return true if it was received later
     */
    default boolean isNewerThan(RateLimitObservation other) {
        return atMillis() > other.atMillis();
    }

    /**
     * Checks that a number is a valid limit.
     *
     * @param perSecond the requests per second
     * @throws IllegalArgumentException if it is negative, infinite or not a number
     */
    static void requireValidLimit(double perSecond) {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new IllegalArgumentException(
                    "rate limit of " + perSecond + " requests per second is negative or not finite");
        }
    }
}
