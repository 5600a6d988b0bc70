package org.micabarrow.weights;

import java.util.function.LongSupplier;

/** How fast the chunks of a version come, and whether they still do. Safe for any number of threads. */
final class FetchProgress {

    /**
     * How long no chunk may come before the fetching counts as stalled, in milliseconds: a dozen chunks' time on a link, and
     * longer than an agent holds a question for a chunk that is on its way.
     */
    private static final long STALLED_MILLIS = 700;

    /** How far back the pace is looked at, in milliseconds: ten chunks' time on a link at least. The pace is of one window or two. */
    private static final long WINDOW_MILLIS = 500;

    private final ChunkSet set;
    private final LongSupplier steadyMillis;
    private final int presentAtFirst;
    private final long beganMillis;
    private int present;
    private long sinceMillis;

    /** The looks by which the pace is told: the later at least a window after the earlier. */
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

    /** What is fetched. */
    ChunkSet set() {
        return set;
    }

    /** How many chunks have come since the fetching began. */
    int came() {
        return set.present() - presentAtFirst;
    }

    /** Whether it is of a version. */
    boolean isOf(ChunkSet other) {
        return set.equals(other);
    }

    /** How long some chunks are expected to take if they come as fast as those before; the greatest number if none has come. */
    synchronized long expectedMillis(int chunks) {
        int came = set.present() - presentAtFirst;
        long took = steadyMillis.getAsLong() - beganMillis;
        if (chunks == 0) {
            return 0;
        }
        return came == 0 ? Long.MAX_VALUE : took * chunks / came;
    }

    /** Whether no chunk has come for a while. */
    synchronized boolean stalled() {
        return silentMillis() > STALLED_MILLIS;
    }

    /** For how long no chunk has come. */
    synchronized long silentMillis() {
        look();
        return steadyMillis.getAsLong() - sinceMillis;
    }

    /** Whether chunks had the time to come: before, nothing is told by how few have. */
    synchronized boolean tells() {
        return steadyMillis.getAsLong() - beganMillis > STALLED_MILLIS;
    }

    /** How long a chunk takes as they come lately, in milliseconds; infinite if none has come lately. */
    synchronized double chunkMillis() {
        look();
        return chunkMillis(steadyMillis.getAsLong());
    }

    /** How long a chunk took when they came fastest, in milliseconds; infinite if none has come. */
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
