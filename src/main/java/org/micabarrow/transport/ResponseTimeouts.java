package org.micabarrow.transport;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Timeouts for an HTTP response. A large response does not time out while data keeps arriving: over a narrow link a
 * complete manifest takes seconds, and a client that gives up and requests it again fills the link for all others too.
 *
 * @param firstPart how long the response may take to begin
 * @param nextPart how long it may take from one part of the response to the next
 * @param total how long the complete response may take
 */
public record ResponseTimeouts(Duration firstPart, Duration nextPart, Duration total) {

    /** Checks that no component is null. */
    public ResponseTimeouts {
        requireNonNull(firstPart, "firstPart is null");
        requireNonNull(nextPart, "nextPart is null");
        requireNonNull(total, "total is null");
    }

    /**
     * Creates timeouts for small responses, for which only the total time matters.
     *
     * @param timeout how long the complete response may take
     * @return the timeouts
     */
    public static ResponseTimeouts total(Duration timeout) {
        return new ResponseTimeouts(timeout, timeout, timeout);
    }

    /**
     * Returns the time by which the next part of the response must have arrived.
     *
     * @param startNanos when the wait began
     * @param lastPartNanos when the last part arrived; {@code startNanos} if none has
     * @return the deadline, on the same clock
     */
    long deadlineNanos(long startNanos, long lastPartNanos) {
        long nextDeadline =
                lastPartNanos == startNanos ? startNanos + firstPart.toNanos() : lastPartNanos + nextPart.toNanos();
        long totalDeadline = startNanos + total.toNanos();
        return nextDeadline - totalDeadline < 0 ? nextDeadline : totalDeadline;
    }
}
