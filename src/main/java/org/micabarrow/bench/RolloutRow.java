package org.micabarrow.bench;

import java.util.Locale;

/**
 * Result of one measured rollout.
 *
 * @param name name of the measurement
 * @param replicas number of replicas that received the weights
 * @param prefer preference given in the plan
 * @param seconds time from the confirmation until every surviving replica was ready
 * @param lowerBoundSeconds minimum time that the link bandwidths allow
 * @param originCopies bytes sent by the origin, as a multiple of the size of the weights
 */
record RolloutRow(
        String name, int replicas, String prefer, double seconds, double lowerBoundSeconds, double originCopies) {

    /** Returns the duration as a multiple of the lower bound. */
    double ratio() {
        return seconds / lowerBoundSeconds;
    }

    /** Formats the result as a JSON object. */
    String json() {
        return String.format(
                Locale.ROOT,
                "{\"row\":\"%s\",\"replicas\":%d,\"prefer\":\"%s\",\"seconds\":%.3f,\"bound\":%.3f,"
                        + "\"ratio\":%.3f,\"origin_copies\":%.3f}",
                name,
                replicas,
                prefer,
                seconds,
                lowerBoundSeconds,
                ratio(),
                originCopies);
    }

    /** Returns the column headers for {@link #line}. */
    static String header() {
        return String.format(
                Locale.ROOT,
                "%-34s %8s %-12s %9s %7s %7s %7s",
                "row",
                "replicas",
                "prefer",
                "seconds",
                "bound",
                "ratio",
                "copies");
    }

    /** Formats the result as a table row. */
    String line() {
        return String.format(
                Locale.ROOT,
                "%-34s %8d %-12s %9.2f %7.2f %7.2f %7.2f",
                name,
                replicas,
                prefer,
                seconds,
                lowerBoundSeconds,
                ratio(),
                originCopies);
    }
}
