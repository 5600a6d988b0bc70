package org.micabarrow.transport;

import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Limits transfers of weights to the bandwidth that an instance's link can spare. Threads that exceed the rate wait.
 * Thread-safe.
 *
 * <pre>{@code
 * pacer.acquire(chunk.length);
 * }</pre>
 */
public final class LinkPacer {

    /**
     * How long a burst an idle pacer allows, in seconds of its rate: short compared with the time of a chunk on a link.
     */
    private static final double BURST_SECONDS = 0.02;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double bytesPerSecond;
    private final DoubleSupplier fraction;
    private long freeAtNanos = System.nanoTime();

    /**
     * Creates a pacer.
     *
     * @param bytesPerSecond the bandwidth of the link
     * @param fraction the fraction of the bandwidth that weights may use at the moment, from 0 to 1
     */
    public LinkPacer(double bytesPerSecond, DoubleSupplier fraction) {
        this.bytesPerSecond = bytesPerSecond;
        this.fraction = Objects.requireNonNull(fraction, "fraction is null");
    }

    /**
     * Waits until a number of bytes may be transferred.
     *
     * @param bytes the number of bytes
     */
    public void acquire(int bytes) {
        long untilNanos = reserve(bytes).untilNanos();
        for (long remaining = untilNanos - System.nanoTime();
                remaining > 0;
                remaining = untilNanos - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
    }

    /**
     * A time span for which the link is reserved.
     *
     * @param fromNanos when it begins, as a value of {@link System#nanoTime}
     * @param nanos how long it lasts, in nanoseconds
     */
    public record Reservation(long fromNanos, long nanos) {

        /**
         * Returns when it ends.
         *
         * @return the time, as a value of {@link System#nanoTime}
         */
        public long untilNanos() {
            return fromNanos + nanos;
        }
    }

    /**
     * Reserves the link for a number of bytes without waiting.
     *
     * @param bytes the number of bytes
     * @return the time span in which they may be transferred
     */
    public synchronized Reservation reserve(int bytes) {
        long earliest = System.nanoTime() - (long) (BURST_SECONDS * NANOS_PER_SECOND);
        long fromNanos = Math.max(freeAtNanos, earliest);
        long nanos = (long) (bytes * NANOS_PER_SECOND / (bytesPerSecond * fraction.getAsDouble()));
        freeAtNanos = fromNanos + nanos;
        return new Reservation(fromNanos, nanos);
    }
}
