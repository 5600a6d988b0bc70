package org.micabarrow.routing;

import java.util.Objects;

/**
 * For how long an endpoint has sent nothing to any of this entry's streams there that await an event. Streams whose
 * clients do not read, and requests that have not begun, do not count. Not thread-safe: confined to one thread.
 */
public final class StreamSilence {

    private final StreamGaps gaps;
    private int awaiting;
    private long silentSinceMillis;

    /**
     * Creates the silence of an endpoint without streams.
     *
     * @param gaps the gaps of all streams, to be updated
     */
    public StreamSilence(StreamGaps gaps) {
        this.gaps = Objects.requireNonNull(gaps, "gaps is null");
    }

    /**
     * Records that a stream that has begun awaits its next event.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void awaits(long nowMillis) {
        if (awaiting == 0) {
            silentSinceMillis = nowMillis;
        }
        awaiting++;
    }

    /**
     * Records that the awaited event of a stream arrived.
     *
     * @param gapMillis the time for which it was awaited
     * @param nowMillis the time on the monotonic clock
     */
    public void arrived(long gapMillis, long nowMillis) {
        awaiting--;
        silentSinceMillis = nowMillis;
        gaps.event(gapMillis, nowMillis);
    }

    /** Records that a stream ended whose next event was awaited. */
    public void ended() {
        awaiting--;
    }

    /**
     * Returns whether the endpoint is mute.
     *
     * @param objectiveMillis the objective, the longest time that is waited for
     * @param nowMillis the time on the monotonic clock
     * @return true if its streams are silent while streams of others step on
     */
    public boolean mute(long objectiveMillis, long nowMillis) {
        return awaiting > 0 && gaps.mute(nowMillis - silentSinceMillis, objectiveMillis, nowMillis);
    }
}
