package org.micabarrow.transport;

import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Holds the movement of weights to what an instance's link can spare. Threads that ask for more than the rate wait.
 *
 * <pre>{@code
 * pacer.take(chunk.length);
 * }</pre>
 */
public final class LinkPacer {

    private static final double BURST_SECONDS = 0.02;

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
        this.share = share;
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
        return Math.max(0, (reserve(bytes) - System.nanoTime()) / 1_000_000);
    }

    /** Books the link for some bytes, and tells until when they take it. */
    private synchronized long reserve(int bytes) {
        long now = System.nanoTime();
        long earliest = now - (long) (BURST_SECONDS * 1e9);
        freeAtNanos = Math.max(freeAtNanos, earliest) + (long) (bytes * 1e9 / (bytesPerSecond * share.getAsDouble()));
        return freeAtNanos;
    }
}
