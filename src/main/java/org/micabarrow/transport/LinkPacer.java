package org.micabarrow.transport;

import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Holds the movement of weights to what an instance's link can spare. Threads that ask for more than the rate wait. Safe for
 * any number of threads.
 *
 * <pre>{@code
 * pacer.take(chunk.length);
 * }</pre>
 */
public final class LinkPacer {

    /** How much of its rate an idle pacer may catch up on, in seconds: short beside the time of a chunk on a link. */
    private static final double BURST_SECONDS = 0.02;

    private static final double NANOS_A_SECOND = 1e9;

    private final double bytesPerSecond;
    private final DoubleSupplier share;
    private long freeAtNanos = System.nanoTime();

    /**
     * Makes a pacer.
     *
     * @param bytesPerSecond what the link carries
     * @param share the part of it that weights may take now, from 0 to 1
     */
    public LinkPacer(double bytesPerSecond, DoubleSupplier share) {
        this.bytesPerSecond = bytesPerSecond;
        this.share = Objects.requireNonNull(share, "share is null");
    }

    /**
     * Waits until bytes may pass.
     *
     * @param bytes how many
     */
    public void take(int bytes) {
        long until = book(bytes).untilNanos();
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            LockSupport.parkNanos(left);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
    }

    /**
     * A time for which the link is booked.
     *
     * @param fromNanos when it begins, as {@link System#nanoTime} tells it
     * @param nanos how long it lasts, in nanoseconds
     */
    public record Booking(long fromNanos, long nanos) {

        /**
         * When it is over.
         *
         * @return the time, as {@link System#nanoTime} tells it
         */
        public long untilNanos() {
            return fromNanos + nanos;
        }
    }

    /**
     * Books the link for some bytes without waiting.
     *
     * @param bytes how many
     * @return when they may pass
     */
    public synchronized Booking book(int bytes) {
        long earliest = System.nanoTime() - (long) (BURST_SECONDS * NANOS_A_SECOND);
        long from = Math.max(freeAtNanos, earliest);
        long nanos = (long) (bytes * NANOS_A_SECOND / (bytesPerSecond * share.getAsDouble()));
        freeAtNanos = from + nanos;
        return new Booking(from, nanos);
    }
}
