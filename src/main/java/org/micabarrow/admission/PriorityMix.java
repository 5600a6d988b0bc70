package org.micabarrow.admission;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Finds out whether the routes of the requests that arrive differ in priority. Not thread-safe: confined to one thread. */
final class PriorityMix {

    /** Decay time of the arrivals, in milliseconds: classes that call only now and then still count. */
    private static final double DECAY_MILLIS = 10_000;

    /** The part of the arrivals that a priority must have, so that single probes do not divide slots. */
    private static final double MIN_FRACTION = 0.02;

    private static final double MIN_REQUESTS = 2;

    /** How long after its last request a priority limits the prompts of others, in milliseconds. */
    private static final long CALLING_MILLIS = 2_000;

    private final Map<Integer, Arrivals> arrivals = new TreeMap<>();
    private final DecayedCount all = new DecayedCount(DECAY_MILLIS);

    private static final class Arrivals {
        private final DecayedCount count = new DecayedCount(DECAY_MILLIS);
        private long objectiveMillis;
        private long lastMillis;
    }

    void arrived(int priority, long objectiveMillis, long nowMillis) {
        Arrivals ofPriority = arrivals.computeIfAbsent(priority, key -> new Arrivals());
        ofPriority.count.add(1, nowMillis);
        ofPriority.objectiveMillis = objectiveMillis;
        ofPriority.lastMillis = nowMillis;
        all.add(1, nowMillis);
    }

    /** Returns whether at least two priorities have a substantial part of the arrivals. */
    boolean differs(long nowMillis) {
        int substantial = 0;
        if (arrivals.size() > 1) {
            for (Arrivals one : arrivals.values()) {
                substantial += isSubstantial(one, nowMillis) ? 1 : 0;
            }
        }
        return substantial > 1;
    }

    /**
     * Returns the shortest objective of the more urgent priorities that have called lately; empty if none of them has a
     * substantial part.
     */
    OptionalLong shortestMoreUrgentObjective(int priority, long nowMillis) {
        long shortest = Long.MAX_VALUE;
        for (Map.Entry<Integer, Arrivals> one : arrivals.entrySet()) {
            boolean calling = nowMillis - one.getValue().lastMillis <= CALLING_MILLIS;
            if (one.getKey() < priority && calling && isSubstantial(one.getValue(), nowMillis)) {
                shortest = Math.min(shortest, one.getValue().objectiveMillis);
            }
        }
        return shortest == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(shortest);
    }

    private boolean isSubstantial(Arrivals one, long nowMillis) {
        return one.count.value(nowMillis) >= Math.max(MIN_REQUESTS, MIN_FRACTION * all.value(nowMillis));
    }
}
