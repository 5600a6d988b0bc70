package org.micabarrow.views;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a process knows of when a weight version was named: before it learned of it, and not before the last time at
 * which it knew of everything that had been named. The time of learning alone says little, as the process or the one
 * that it relies on may have been paused meanwhile.
 *
 * @param learnedAtMillis when this process learned of the version, on its monotonic clock
 * @param notBeforeMillis a time on the same clock before which the version was not named; empty if none is known
 */
public record NamingTime(long learnedAtMillis, OptionalLong notBeforeMillis) {

    /**
     * How much later than a record is written a process knows of it that waits for it and is not paused, in
     * milliseconds.
     */
    public static final long MAX_DELIVERY_MILLIS = 150;

    /** The least by which an account must be narrower to count, in milliseconds: ages vary with the way of a message. */
    private static final long MIN_NARROWING_MILLIS = 20;

    /** Checks that no component is null. */
    public NamingTime {
        Objects.requireNonNull(notBeforeMillis, "notBeforeMillis is null");
    }

    // -- static factories

    /**
     * Returns what is known of a version that was named at a known time, or if nothing else is known than when the
     * process learned of it.
     *
     * @param millis the time on the monotonic clock
     * @return the time of the naming
     */
    public static NamingTime at(long millis) {
        return new NamingTime(millis, OptionalLong.empty());
    }

    // -- the time that counts

    /**
     * The time from which bounds are counted: the time of learning, unless the version may have been named so much
     * earlier that a bound counted from then would end too late by more than {@link #MAX_DELIVERY_MILLIS}.
     *
     * @return the time on the monotonic clock, never later than the time of learning
     */
    public long assumedMillis() {
        return notBeforeMillis.isPresent()
                ? Math.min(learnedAtMillis, notBeforeMillis.getAsLong() + MAX_DELIVERY_MILLIS)
                : learnedAtMillis;
    }

    /**
     * Adds what another process knows. A wrong account never makes bounds end later than the time of learning does.
     *
     * @param otherNotBeforeMillis a time on this process's monotonic clock before which the version was not named
     * @return the narrower of both; this one if the other is hardly narrower
     */
    NamingTime withNotBefore(long otherNotBeforeMillis) {
        long credible = Math.min(otherNotBeforeMillis, learnedAtMillis);
        boolean narrower = notBeforeMillis.isEmpty() || credible - notBeforeMillis.getAsLong() >= MIN_NARROWING_MILLIS;
        return narrower ? new NamingTime(learnedAtMillis, OptionalLong.of(credible)) : this;
    }
}
