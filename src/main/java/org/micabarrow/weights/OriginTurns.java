package org.micabarrow.weights;

import java.util.BitSet;
import java.util.function.LongSupplier;

/**
 * Decides which chunks an agent requests from the origin now. All agents share the origin's link. If each requested its
 * chunks at once, all would arrive at the end of the time that they take together, the agents' own links would be idle
 * until then, and an origin that becomes unavailable would have delivered hardly any. So chunks are requested in order
 * of their index: one is due once few of those before it are missing here. What other agents request is not known; that
 * their chunks arrive here shows how far the origin has got. Thread-safe.
 */
final class OriginTurns {

    /**
     * The number of missing chunks that may be requested by all agents together: what an origin of some 5 Mbit/s sends
     * in the second and more after which a chunk has been passed on to all. Fewer leave its link idle.
     */
    private static final int MAX_REQUESTED = 32;

    /**
     * The response time below which the origin has few requests waiting, in milliseconds. The chunks that are missing
     * here are then not missing there: other agents have them, and the links between agents are what takes time.
     */
    private static final long QUICK_RESPONSE_MILLIS = 700;

    /**
     * The number of chunks that may be requested at first. More take so long together that links are idle meanwhile.
     */
    private static final int FIRST_REQUESTED = 6;

    /**
     * The interval after which one more may be requested, in milliseconds, whether or not chunks have arrived: the time
     * of a chunk on an origin's link of some 4 Mbit/s, so that requests neither pile up there nor leave it idle.
     */
    private static final long PACE_MILLIS = 45;

    /**
     * The time without any new chunk after which all chunks are due, in milliseconds: chunks that their agents cannot
     * get must not hold up the others. Longer than the origin takes for a round of requested chunks.
     */
    private static final long MAX_IDLE_MILLIS = 1_500;

    private final ChunkSet set;
    private final LongSupplier monotonicMillis;

    /** When this agent began to request chunks, or the origin last failed, and the chunks present then. */
    private long availableSinceMillis;

    private int presentBefore;

    private int lastPresent;
    private long lastChunkAtMillis;
    private long responseMillis = Long.MAX_VALUE;

    OriginTurns(ChunkSet set, LongSupplier monotonicMillis) {
        this.set = set;
        this.monotonicMillis = monotonicMillis;
        this.lastPresent = set.presentCount();
        onOriginFailed();
    }

    /** Called when a request to the origin has failed. Chunks are then due one after the other again. */
    synchronized void onOriginFailed() {
        availableSinceMillis = monotonicMillis.getAsLong();
        lastChunkAtMillis = availableSinceMillis;
        presentBefore = set.presentCount();
    }

    /**
     * Called when the origin has delivered a chunk.
     *
     * @param tookMillis the time from the request to the whole chunk, in milliseconds
     */
    synchronized void onOriginDelivered(long tookMillis) {
        responseMillis = tookMillis;
    }

    /** The chunks of an agent that are due now. */
    synchronized BitSet due(BitSet assigned) {
        long now = monotonicMillis.getAsLong();
        if (isIdle(now)) {
            return assigned;
        }
        long requestable = requestable(now);
        BitSet due = new BitSet();
        int missing = 0;
        for (int i = 0; i < set.digests().size() && missing < requestable; i++) {
            if (set.chunk(i).isEmpty()) {
                missing++;
                due.set(i, assigned.get(i));
            }
        }
        return due;
    }

    /** Grows with each chunk that arrives, so that its agent need not know how fast the origin is. */
    private long requestable(long now) {
        int arrived = set.presentCount() - presentBefore;
        int max = responseMillis < QUICK_RESPONSE_MILLIS ? set.digests().size() : MAX_REQUESTED;
        return Math.min(max, FIRST_REQUESTED + arrived + (now - availableSinceMillis) / PACE_MILLIS);
    }

    private boolean isIdle(long now) {
        int present = set.presentCount();
        if (present != lastPresent) {
            lastPresent = present;
            lastChunkAtMillis = now;
        }
        return now - lastChunkAtMillis > MAX_IDLE_MILLIS;
    }
}
