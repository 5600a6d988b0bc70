package org.micabarrow.admission;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Predicts how long a request would wait in the queue from the rate at which requests of its class were sent, which is
 * what more urgent ones left to it. Not thread-safe: confined to one thread.
 */
final class WaitForecast {

    /** Decay time of the rates, in milliseconds: as long as the longest waits. */
    private static final double DECAY_MILLIS = 1_000;

    /** The decayed number of requests below which the rate is not known. */
    private static final double MIN_SENT = 2;

    private final Map<Integer, DecayedCount> sent = new TreeMap<>();

    void sent(int priority, long nowMillis) {
        sent.computeIfAbsent(priority, key -> new DecayedCount(DECAY_MILLIS)).add(1, nowMillis);
    }

    /**
     * Returns the time until those of the same class that wait before a request have been sent; empty if that is not
     * known, and for the most urgent class, to which slots are given first.
     */
    OptionalLong millis(int priority, Map<Integer, Integer> waiting, long nowMillis) {
        if (sent.keySet().stream().allMatch(other -> other >= priority)) {
            return OptionalLong.empty();
        }
        int ahead = waiting.getOrDefault(priority, 0);
        DecayedCount own = sent.get(priority);
        if (ahead == 0 || own == null || own.value(nowMillis) < MIN_SENT) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.round(ahead * 1_000 / own.perSecond(nowMillis)));
    }
}
