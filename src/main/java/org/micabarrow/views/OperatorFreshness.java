package org.micabarrow.views;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The time up to which all operator records are known. A process knows what it has read; that nothing else was written
 * is certain only for the time before its last read of the end of the topic, or for the time stated by a peer in its
 * response. Thread-safe.
 */
final class OperatorFreshness {

    /** Earlier than any time; a monotonic clock may start at any value. */
    private static final long NEVER = Long.MIN_VALUE;

    private final AtomicLong asOfMillis = new AtomicLong(NEVER);
    private volatile boolean manifestMissing;

    /**
     * Records that everything written up to a time has been applied. An earlier time than the known one has no effect.
     */
    void confirm(long millis) {
        asOfMillis.accumulateAndGet(millis, Math::max);
    }

    /** Forgets the time, so that none is known until it is confirmed again. */
    void forget() {
        asOfMillis.set(NEVER);
    }

    /**
     * Sets whether a manifest is known to be newer than the active one and was replaced by an older one that was
     * written late.
     */
    void setManifestMissing(boolean missing) {
        manifestMissing = missing;
    }

    /** The latest such time; empty if there is none, and while a manifest is missing, regardless of what was read. */
    OptionalLong asOf() {
        long millis = asOfMillis.get();
        return manifestMissing || millis == NEVER ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
