package org.micabarrow.liveness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.micabarrow.routing.EndpointStart;

/**
 * The attempts that are open at each start of an endpoint, and when the connection of one last broke off. A process that
 * dies takes all of its connections with it, also where another one listens at its address at once. Used by the traffic
 * thread.
 */
public final class OpenAttempts {

    /**
     * How far apart the ends of connections of one process may be noticed, in milliseconds: a round trip, and a moment in
     * which the thread that notices them is busy.
     */
    private static final long SAME_MOMENT_MILLIS = 250;

    /** The number of starts from which on those without an open attempt are forgotten when a connection breaks off. */
    private static final int MAX_STARTS = 1_000;

    /** Earlier than any time; a monotonic clock may start at any value. */
    private static final long NEVER = Long.MIN_VALUE;

    private final Map<EndpointStart, StartAttempts> byStart = new HashMap<>();

    private static final class StartAttempts {
        private final List<Long> sentMillis = new ArrayList<>();
        private long lastBreakMillis = NEVER;
    }

    /**
     * Records that a request is about to be written.
     *
     * @param start the endpoint's start
     * @param nowMillis the time on a monotonic clock, in milliseconds
     */
    public void sent(EndpointStart start, long nowMillis) {
        byStart.computeIfAbsent(Objects.requireNonNull(start, "start is null"), key -> new StartAttempts())
                .sentMillis
                .add(nowMillis);
    }

    /**
     * Records that an attempt has ended in any way.
     *
     * @param start the endpoint's start
     * @param sentMillis when its request was written
     */
    public void ended(EndpointStart start, long sentMillis) {
        StartAttempts attempts = byStart.get(start);
        if (attempts == null) {
            return;
        }
        attempts.sentMillis.remove(Long.valueOf(sentMillis));
        if (attempts.sentMillis.isEmpty() && attempts.lastBreakMillis == NEVER) {
            byStart.remove(start);
        }
    }

    /**
     * Records that the connection of an attempt broke off before its response was complete.
     *
     * @param start the endpoint's start
     * @param nowMillis the time on the same clock
     */
    public void brokeOff(EndpointStart start, long nowMillis) {
        if (byStart.size() >= MAX_STARTS) {
            byStart.values().removeIf(attempts -> attempts.sentMillis.isEmpty());
        }
        byStart.computeIfAbsent(start, key -> new StartAttempts()).lastBreakMillis = nowMillis;
    }

    /**
     * Returns whether the connections of a start seem to have ended together: one broke off at that moment, and none that
     * was open before is left.
     *
     * @param start the endpoint's start
     * @param endedMillis when the connection in question ended, on the same clock
     * @return false if nothing broke off, or an earlier request is still in progress
     */
    public boolean allEndedAt(EndpointStart start, long endedMillis) {
        StartAttempts attempts = byStart.get(start);
        return attempts != null
                && attempts.lastBreakMillis > endedMillis - SAME_MOMENT_MILLIS
                && attempts.sentMillis.stream().allMatch(sent -> sent > endedMillis);
    }
}
