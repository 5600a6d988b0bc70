package org.micabarrow.routing;

/** How long the way to an endpoint and back takes, by its agent's answers. Used by one thread. */
final class LinkLatency {

    /**
     * From when on the way to an endpoint and back counts as slow, in milliseconds: about an objective, so that no answer could
     * come in time; links that weights pass through take up to a fifth of a second.
     */
    private static final long SLOW_MILLIS = 400;

    /**
     * For how long after a slow answer a link may be slow again, in milliseconds. A narrow link is quick between two chunks of
     * weights, and each of them fills it for a second.
     */
    private static final long SLOW_AGAIN_MILLIS = 3_000;

    private long lastMillis;
    private long lastSlowMillis = -SLOW_AGAIN_MILLIS - 1;

    /** An answer came so long after its question. */
    void measured(long delayMillis, long nowMillis) {
        lastMillis = delayMillis;
        if (delayMillis > SLOW_MILLIS) {
            lastSlowMillis = nowMillis;
        }
    }

    /** Whether the last answer came late. */
    boolean slow() {
        return lastMillis > SLOW_MILLIS;
    }

    /** Whether an answer came late a while ago at most. */
    boolean slowLately(long nowMillis) {
        return nowMillis - lastSlowMillis <= SLOW_AGAIN_MILLIS;
    }
}
