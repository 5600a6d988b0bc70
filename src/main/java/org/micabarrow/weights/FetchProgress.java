package org.micabarrow.weights;

import java.util.function.LongSupplier;

/** How fast the chunks of a version come, and whether they still do. Safe for any number of threads. */
final class FetchProgress {

    /**
     * How long no chunk may come before the fetching counts as stalled, in milliseconds: a dozen chunks' time on a link, and
     * longer than an agent holds a question for a chunk that is on its way.
     */
    private static final long STALLED_MILLIS = 700;

    private final ChunkSet set;
    private final LongSupplier steadyMillis;
    private final int presentAtFirst;
    private final long beganMillis;
    private int present;
    private long sinceMillis;

    FetchProgress(ChunkSet set, LongSupplier steadyMillis) {
        this.set = set;
        this.steadyMillis = steadyMillis;
        this.presentAtFirst = set.present();
        this.beganMillis = steadyMillis.getAsLong();
        this.present = presentAtFirst;
        this.sinceMillis = beganMillis;
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
        long now = steadyMillis.getAsLong();
        int here = set.present();
        if (here > present) {
            present = here;
            sinceMillis = now;
        }
        return now - sinceMillis > STALLED_MILLIS;
    }
}
