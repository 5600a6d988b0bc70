package org.micabarrow.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.micabarrow.routing.Route;

/**
 * Estimates when a client made its first attempt from the time that it will still wait. Clients of a route state
 * similar but not equal times, and a client that retries after a refusal states what remains of its time. A request is
 * therefore taken for a retry only if its time is shorter than usual by at least half of the delay that a refused
 * client is told to wait, and only while the retry of a client refused here may still arrive. Not thread-safe: confined
 * to one thread.
 */
public final class FirstTries {

    /** Number of a route's recent requests that are kept as samples. */
    private static final int REMEMBERED = 64;

    /**
     * The quantile of the sampled times that is taken as the time of a first attempt. Up to this fraction of the
     * requests may be retries, and up to the rest may claim longer times than others, without first attempts being
     * misjudged.
     */
    private static final double SHORTER_PART = 0.75;

    /** Time that a retrying client may need for its new connection, in milliseconds. */
    private static final long CONNECT_MILLIS = 1_000;

    private final Map<String, Recent> routes = new HashMap<>();

    /** The times that a route's clients stated recently, and the time until which retries are expected. */
    private static final class Recent {

        /** Ring buffer of the last times stated. */
        private final long[] millis = new long[REMEMBERED];

        private long count;
        private long returnsUntilMillis = Long.MIN_VALUE;

        private void add(long given) {
            millis[(int) (count % REMEMBERED)] = given;
            count++;
        }

        private long usual() {
            long[] sorted = Arrays.copyOf(millis, (int) Math.min(count, REMEMBERED));
            Arrays.sort(sorted);
            return sorted[(int) (SHORTER_PART * (sorted.length - 1))];
        }
    }

    /**
     * Records that a client was refused and told when to retry. Its retry is expected for no longer than its route
     * holds a request, regardless of the time that it claims to wait or the delay that it was told.
     *
     * @param route the route
     * @param retryAfterMillis the delay that it was told, in milliseconds from now
     * @param nowMillis the time on the monotonic clock
     */
    public void refused(Route route, long comeBackMillis, long nowMillis) {
        Recent recent = recent(route.name());
        long awaitedMillis = Math.min(comeBackMillis, route.timeoutMillis()) + CONNECT_MILLIS;
        recent.returnsUntilMillis = Math.max(recent.returnsUntilMillis, nowMillis + awaitedMillis);
    }

    /**
     * Records a request, and estimates the time since its client's first attempt.
     *
     * @param route the route's name
     * @param statedMillis how long the client will still wait, in milliseconds
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds since the first attempt; 0 for a first attempt
     */
    public long millisSince(String route, long millisGiven, long nowMillis) {
        Recent recent = recent(route);
        recent.add(millisGiven);
        if (nowMillis > recent.returnsUntilMillis) {
            return 0;
        }
        long usual = recent.usual();
        long lacking = usual - millisGiven;
        return lacking >= Admission.comeBackMillis(usual) / 2 ? lacking : 0;
    }

    private Recent recent(String route) {
        return routes.computeIfAbsent(route, name -> new Recent());
    }
}
