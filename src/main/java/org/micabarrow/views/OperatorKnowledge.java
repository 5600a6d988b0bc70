package org.micabarrow.views;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Up to which moment all that operators wrote is known. A process knows what it has read; that nothing else was written it
 * knows only of the time before its last read of the topic's end, or of what a peer knew when it answered. Safe for any number
 * of threads.
 */
final class OperatorKnowledge {

    /** Before any moment: a steady clock may begin anywhere. */
    private static final long NEVER = Long.MIN_VALUE;

    private final AtomicLong asOfMillis = new AtomicLong(NEVER);
    private volatile boolean manifestLacking;

    /** Everything that was written up to a moment has been taken; an earlier moment than is known says nothing new. */
    void confirm(long millis) {
        asOfMillis.accumulateAndGet(millis, Math::max);
    }

    /** Whether a manifest is known to be newer than the one in force, which an older one that was written late hides. */
    void manifestLacking(boolean lacking) {
        manifestLacking = lacking;
    }

    /** The latest such moment; empty if there is none, and while a manifest is lacking, whatever was read. */
    OptionalLong asOf() {
        long millis = asOfMillis.get();
        return manifestLacking || millis == NEVER ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
