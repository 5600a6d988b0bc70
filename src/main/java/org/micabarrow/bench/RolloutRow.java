package org.micabarrow.bench;

import java.util.Locale;

/**
 * One measured rollout.
 *
 * @param name what was measured
 * @param replicas how many replicas received the weights
 * @param prefer what the plan preferred
 * @param seconds from the confirmation until every replica that lives was ready
 * @param bound the least time that the links allow, in seconds
 * @param originCopies how many copies the origin gave
 */
record RolloutRow(
        String name, int replicas, String prefer, double seconds, double lowerBoundSeconds, double originCopies) {

    /** How many times the lower bound it took. */
    double ratio() {
        return seconds / lowerBoundSeconds;
    }

    /** The rollout as a JSON object. */
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

    /** The heads of the columns of {@link #line}. */
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

    /** The rollout as a line of a table. */
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
