package org.micabarrow.weights;

import java.util.function.LongSupplier;

/** Measures how fast the chunks of a version arrive, and detects when they stop. Thread-safe. */
final class FetchProgress {

    /**
     * The time without a new chunk after which a fetch counts as stalled, in milliseconds: the time of a dozen chunks
     * on a link, and longer than an agent delays its answer for a chunk that it is about to receive.
     */
    private static final long STALLED_MILLIS = 700;

    /**
     * The length of the measuring window for the chunk rate, in milliseconds: the time of at least ten chunks on a
     * link. The rate covers between one and two windows.
     */
    private static final long WINDOW_MILLIS = 500;

    private final ChunkSet set;
    private final LongSupplier steadyMillis;
    private final int presentAtFirst;
    private final long beganMillis;
    private int present;
    private long sinceMillis;

    /** The samples from which the chunk rate is computed, at least one window apart. */
    private Look earlier;

    private Look later;
    private double bestChunkMillis = Double.POSITIVE_INFINITY;

    private record Look(long atMillis, int present) {}

    FetchProgress(ChunkSet set, LongSupplier steadyMillis) {
        this.set = set;
        this.steadyMillis = steadyMillis;
        this.presentAtFirst = set.present();
        this.beganMillis = steadyMillis.getAsLong();
        this.present = presentAtFirst;
        this.sinceMillis = beganMillis;
        this.earlier = new Look(beganMillis, presentAtFirst);
        this.later = earlier;
    }

    /** The chunks of the version being fetched. */
    ChunkSet set() {
        return set;
    }

    /** The number of chunks that have arrived since the fetch started. */
    int came() {
        return set.present() - presentAtFirst;
    }

    /** Whether this is the progress of the given set. */
    boolean isOf(ChunkSet other) {
        return set.equals(other);
    }

    /**
     * The expected time for some chunks at the average rate so far, in milliseconds; {@link Long#MAX_VALUE} if none has
     * arrived.
     */
    synchronized long expectedMillis(int chunks) {
        int came = set.present() - presentAtFirst;
        long took = steadyMillis.getAsLong() - beganMillis;
        if (chunks == 0) {
            return 0;
        }
        return came == 0 ? Long.MAX_VALUE : took * chunks / came;
    }

    /** Whether no chunk has arrived for a while. */
    synchronized boolean stalled() {
        return silentMillis() > STALLED_MILLIS;
    }

    /** The time since the last chunk arrived, in milliseconds. */
    synchronized long silentMillis() {
        look();
        return steadyMillis.getAsLong() - sinceMillis;
    }

    /** Whether the fetch has run long enough for its rate to be meaningful. */
    synchronized boolean tells() {
        return steadyMillis.getAsLong() - beganMillis > STALLED_MILLIS;
    }

    /** The recent time per chunk, in milliseconds; infinite if none has arrived recently. */
    synchronized double chunkMillis() {
        look();
        return chunkMillis(steadyMillis.getAsLong());
    }

    /** The shortest time per chunk in any window, in milliseconds; infinite if none has arrived. */
    synchronized double bestChunkMillis() {
        return bestChunkMillis;
    }

    private double chunkMillis(long now) {
        int came = set.present() - earlier.present();
        return came == 0 ? Double.POSITIVE_INFINITY : Math.max(1.0, now - earlier.atMillis()) / came;
    }

    private void look() {
        long now = steadyMillis.getAsLong();
        int here = set.present();
        if (here > present) {
            present = here;
            sinceMillis = now;
        }
        if (now - later.atMillis() >= WINDOW_MILLIS) {
            bestChunkMillis = Math.min(bestChunkMillis, chunkMillis(now));
            earlier = later;
            later = new Look(now, here);
        }
    }
}
