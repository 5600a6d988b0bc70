package org.micabarrow.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.micabarrow.routing.Route;

/**
 * Estimates when a client first tried, from what it will still wait. Clients of a route give similar times, though not equal
 * ones, and one that comes back after a refusal gives what is left of its time; so a request is taken for a return only if it
 * lacks as much as a refused client was told to stay away, and only while a client that was refused here may be on its way
 * back. Used by one thread.
 */
public final class FirstAttemptEstimator {

    /** How many of a route's last requests are remembered. */
    private static final int REMEMBERED = 64;

    /**
     * The part of the remembered times that is taken to be shorter than a first try's. Up to this part of the requests may be
     * returns, and up to the rest may claim to wait longer than others do, without a first try being mistaken.
     */
    private static final double SHORTER_PART = 0.75;

    /** How long a client that comes back may take for its new connection, in milliseconds. */
    private static final long CONNECT_MILLIS = 1_000;

    private final Map<String, Recent> routes = new HashMap<>();

    /** What a route's clients gave and were told lately. */
    private static final class Recent {

        /** The last times given, the oldest written over first. */
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
     * Notes that a client was refused and told when to come back. It is not awaited for longer than its route holds a request, whatever
     * it claims to wait or was told.
     *
     * @param route the route
     * @param comeBackMillis what it was told, in milliseconds from now
     * @param nowMillis the time on the steady clock
     */
    public void refused(Route route, long comeBackMillis, long nowMillis) {
        Recent recent = recent(route.name());
        long awaitedMillis = Math.min(comeBackMillis, route.timeoutMillis()) + CONNECT_MILLIS;
        recent.returnsUntilMillis = Math.max(recent.returnsUntilMillis, nowMillis + awaitedMillis);
    }

    /**
     * Notes a request, and estimates how long ago its client first tried.
     *
     * @param route the route's name
     * @param millisGiven how long the client will still wait, in milliseconds
     * @param nowMillis the time on the steady clock
     * @return milliseconds since the first try; 0 for a first try
     */
    public long millisSince(String route, long millisGiven, long nowMillis) {
        Recent recent = recent(route);
        recent.add(millisGiven);
        if (nowMillis > recent.returnsUntilMillis) {
            return 0;
        }
        long usual = recent.usual();
        long lacking = usual - millisGiven;
        return lacking >= AdmissionControl.comeBackMillis(usual) / 2 ? lacking : 0;
    }

    private Recent recent(String route) {
        return routes.computeIfAbsent(route, name -> new Recent());
    }
}
