package org.micabarrow.routing;

import java.util.Objects;

/**
 * For how long an endpoint has sent nothing to any of this entry's requests there: neither a first event nor the next
 * one. Streams whose clients do not read do not count. Not thread-safe: confined to one thread.
 */
public final class StreamSilence {

    private final StreamGaps gaps;
    private int pending;
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
     * Records that a request was sent to the endpoint.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(long nowMillis) {
        beginSilence(nowMillis);
        pending++;
    }

    /**
     * Records the first event of a response.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void begun(long nowMillis) {
        pending--;
        silentSinceMillis = nowMillis;
    }

    /** Records that a request ended whose response had not begun. */
    public void withdrawn() {
        pending--;
    }

    private void beginSilence(long nowMillis) {
        if (pending + awaiting == 0) {
            silentSinceMillis = nowMillis;
        }
    }

    /**
     * Records that a stream that has begun awaits its next event.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void awaits(long nowMillis) {
        beginSilence(nowMillis);
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
     * @param objectiveMillis the objective: the longest silence between events, and from the sending to a first event
     * @param nowMillis the time on the monotonic clock
     * @return true if it is silent while streams of others step on
     */
    public boolean mute(long objectiveMillis, long nowMillis) {
        long silentMillis = nowMillis - silentSinceMillis;
        boolean streamsSilent = awaiting > 0 && silentMillis > Math.min(gaps.limitMillis(), objectiveMillis);
        boolean requestsSilent = pending > 0 && silentMillis > objectiveMillis;
        return (streamsSilent || requestsSilent) && gaps.stepping(nowMillis);
    }
}
