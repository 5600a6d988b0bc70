package org.micabarrow.transport;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * How long an answer may take. An answer that keeps coming is not lost by being large: over a narrow link a whole manifest
 * takes seconds, and whoever gives it up and asks again fills the link for all others too.
 *
 * @param begin until it begins
 * @param pause from one part to the next
 * @param whole altogether
 */
public record ResponseTimeouts(Duration begin, Duration pause, Duration whole) {

    /** Checks that nothing is missing. */
    public ResponseTimeouts {
        requireNonNull(begin, "begin is null");
        requireNonNull(pause, "pause is null");
        requireNonNull(whole, "whole is null");
    }

    /**
     * Limits for answers so small that only the whole counts.
     *
     * @param within how long the answer may take altogether
     * @return the limits
     */
    public static ResponseTimeouts whole(Duration within) {
        return new ResponseTimeouts(within, within, within);
    }

    /**
     * Until when an answer must have moved on.
     *
     * @param askedNanos when it was asked for
     * @param movedNanos when its last part came; {@code askedNanos} if none has
     * @return the time, on the same clock
     */
    long deadlineNanos(long askedNanos, long movedNanos) {
        long next = movedNanos == askedNanos ? askedNanos + begin.toNanos() : movedNanos + pause.toNanos();
        long last = askedNanos + whole.toNanos();
        return next - last < 0 ? next : last;
    }
}
