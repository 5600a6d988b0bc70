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
    private static final long NANOS_A_MILLI = 1_000_000;

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
        long until = reserve(bytes);
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            LockSupport.parkNanos(left);
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
        }
    }

    /**
     * Books the link for some bytes without waiting.
     *
     * @param bytes how many
     * @return how long to wait before they may pass, in milliseconds
     */
    public long delayMillis(int bytes) {
        return Math.max(0, (reserve(bytes) - System.nanoTime()) / NANOS_A_MILLI);
    }

    /** Books the link for some bytes, and tells until when they take it. */
    private synchronized long reserve(int bytes) {
        long now = System.nanoTime();
        long earliest = now - (long) (BURST_SECONDS * NANOS_A_SECOND);
        freeAtNanos = Math.max(freeAtNanos, earliest)
                + (long) (bytes * NANOS_A_SECOND / (bytesPerSecond * share.getAsDouble()));
        return freeAtNanos;
    }
}
