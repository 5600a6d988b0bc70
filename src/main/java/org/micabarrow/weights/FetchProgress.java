package org.micabarrow.weights;

import java.util.function.LongSupplier;

/** Measures how fast the chunks of a version arrive, and detects when they stop. Thread-safe. */
final class FetchProgress {

    /**
     * The time without a new chunk after which a fetch counts as stalled, in milliseconds: the time of a dozen chunks
     * on a link, and longer than an agent delays its response for a chunk that it is about to receive.
     */
    private static final long STALLED_MILLIS = 700;

    /**
     * The length of the measuring window for the chunk rate, in milliseconds: the time of at least ten chunks on a
     * link. The rate covers between one and two windows.
     */
    private static final long WINDOW_MILLIS = 500;

    private final ChunkSet set;
    private final LongSupplier monotonicMillis;
    private final int initialPresent;
    private final long startMillis;
    private int lastPresent;
    private long lastChunkAtMillis;

    /** The samples from which the chunk rate is computed, at least one window apart. */
    private Sample olderSample;

    private Sample newerSample;
    private double bestChunkMillis = Double.POSITIVE_INFINITY;

    private record Sample(long atMillis, int present) {}

    FetchProgress(ChunkSet set, LongSupplier monotonicMillis) {
        this.set = set;
        this.monotonicMillis = monotonicMillis;
        this.initialPresent = set.presentCount();
        this.startMillis = monotonicMillis.getAsLong();
        this.lastPresent = initialPresent;
        this.lastChunkAtMillis = startMillis;
        this.olderSample = new Sample(startMillis, initialPresent);
        this.newerSample = olderSample;
    }

    /** The chunks of the version being fetched. */
    ChunkSet set() {
        return set;
    }

    /** The number of chunks that have arrived since the fetch started. */
    int fetchedCount() {
        return set.presentCount() - initialPresent;
    }

    /** Whether this is the progress of the given set. */
    boolean isFor(ChunkSet other) {
        return set.equals(other);
    }

    /**
     * The expected time for some chunks at the average rate so far, in milliseconds; {@link Long#MAX_VALUE} if none has
     * arrived, or none for a while: it is then not known when the next one comes.
     */
    synchronized long expectedMillis(int chunks) {
        int fetched = set.presentCount() - initialPresent;
        long elapsedMillis = monotonicMillis.getAsLong() - startMillis;
        if (chunks == 0) {
            return 0;
        }
        return fetched == 0 || isStalled() ? Long.MAX_VALUE : elapsedMillis * chunks / fetched;
    }

    /** Whether no chunk has arrived for a while. */
    synchronized boolean isStalled() {
        return idleMillis() > STALLED_MILLIS;
    }

    /** The time since the last chunk arrived, in milliseconds. */
    synchronized long idleMillis() {
        takeSample();
        return monotonicMillis.getAsLong() - lastChunkAtMillis;
    }

    /** Whether the fetch has run long enough for its rate to be meaningful. */
    synchronized boolean isMeasurable() {
        return monotonicMillis.getAsLong() - startMillis > STALLED_MILLIS;
    }

    /** The recent time per chunk, in milliseconds; infinite if none has arrived recently. */
    synchronized double chunkMillis() {
        takeSample();
        return chunkMillis(monotonicMillis.getAsLong());
    }

    /** The shortest time per chunk in any window, in milliseconds; infinite if none has arrived. */
    synchronized double bestChunkMillis() {
        return bestChunkMillis;
    }

    private double chunkMillis(long now) {
        int fetched = set.presentCount() - olderSample.present();
        return fetched == 0 ? Double.POSITIVE_INFINITY : Math.max(1.0, now - olderSample.atMillis()) / fetched;
    }

    private void takeSample() {
        long now = monotonicMillis.getAsLong();
        int currentPresent = set.presentCount();
        if (currentPresent > lastPresent) {
            lastPresent = currentPresent;
            lastChunkAtMillis = now;
        }
        if (now - newerSample.atMillis() >= WINDOW_MILLIS) {
            bestChunkMillis = Math.min(bestChunkMillis, chunkMillis(now));
            olderSample = newerSample;
            newerSample = new Sample(now, currentPresent);
        }
    }
}
