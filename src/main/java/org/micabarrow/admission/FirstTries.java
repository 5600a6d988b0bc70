package org.micabarrow.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates when a client first tried, from what it will still wait. Clients of a route mostly give the same time, and one
 * that comes back after a refusal gives what is left of it; so the difference to the usual is how long ago it first tried.
 * Used by one thread.
 */
public final class FirstTries {

    /** How many of a route's last requests are remembered: one or two seconds' worth where a busy route has 40 a second. */
    private static final int REMEMBERED = 64;

    /**
     * The part of the remembered times that is taken to be shorter than a first try's. Up to this part of the requests may be
     * returns, and up to the rest may claim to wait longer than others do, without a first try being mistaken.
     */
    private static final double SHORTER_PART = 0.75;

    private final Map<String, Recent> routes = new HashMap<>();

    /** The last times given on a route, the oldest written over first. */
    private static final class Recent {

        private final long[] millis = new long[REMEMBERED];
        private long count;

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
     * Notes a request, and estimates how long ago its client first tried.
     *
     * @param route the route's name
     * @param millisGiven how long the client will still wait, in milliseconds
     * @return milliseconds since the first try; 0 for a first try
     */
    public long millisSince(String route, long millisGiven) {
        Recent recent = routes.computeIfAbsent(route, name -> new Recent());
        recent.add(millisGiven);
        return Math.max(0, recent.usual() - millisGiven);
    }
}
