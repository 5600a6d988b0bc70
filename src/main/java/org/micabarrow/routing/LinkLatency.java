package org.micabarrow.routing;

/** Measures the round-trip time to an endpoint by the replies of its agent. Not thread-safe: confined to one thread. */
final class LinkLatency {

    /**
     * Round-trip time above which a link is slow, in milliseconds: about one objective, so that no response could be in
     * time. Links that carry weights take up to a fifth of a second.
     */
    private static final long SLOW_MILLIS = 400;

    /**
     * Time after a slow reply during which the link may become slow again, in milliseconds. A narrow link is fast
     * between two chunks of weights, and each chunk fills it for a second.
     */
    private static final long SLOW_MEMORY_MILLIS = 3_000;

    private long lastDelayMillis;
    private long lastSlowMillis = -SLOW_MEMORY_MILLIS - 1;

    /** Records the delay between a query and its reply. */
    void measured(long delayMillis, long nowMillis) {
        lastDelayMillis = delayMillis;
        if (delayMillis > SLOW_MILLIS) {
            lastSlowMillis = nowMillis;
        }
    }

    /** Returns whether the last reply was late. */
    boolean slow() {
        return lastDelayMillis > SLOW_MILLIS;
    }

    /** Returns whether a reply was late recently. */
    boolean recentlySlow(long nowMillis) {
        return nowMillis - lastSlowMillis <= SLOW_MEMORY_MILLIS;
    }
}
