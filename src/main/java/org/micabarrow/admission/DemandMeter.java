package org.micabarrow.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Measures the arrivals of each priority class at an entry. Not thread-safe: confined to one thread. */
final class DemandMeter {

    /** Decay time of the arrivals, in milliseconds: a burst has its effect within a second, single requests even out. */
    private static final double DECAY_MILLIS = 1_000;

    private final Map<Integer, DecayedCount> arrivals = new TreeMap<>();

    void arrived(int priority, long nowMillis) {
        arrivals.computeIfAbsent(priority, key -> new DecayedCount(DECAY_MILLIS))
                .add(1, nowMillis);
    }

    /** Returns the classes that have any demand, the most urgent first; the least urgent ones are merged. */
    List<ClassDemand> classes(Map<Integer, Integer> waiting, long nowMillis) {
        List<ClassDemand> classes = new ArrayList<>();
        arrivals.forEach((priority, count) -> {
            int perSecond = (int) Math.round(count.perSecond(nowMillis));
            ClassDemand demand = new ClassDemand(priority, perSecond, waiting.getOrDefault(priority, 0));
            if (demand.arrivalsPerSecond() + demand.waiting() == 0) {
                return;
            }
            if (classes.size() < EntryDemand.MAX_CLASSES) {
                classes.add(demand);
            } else {
                ClassDemand last = classes.removeLast();
                classes.add(new ClassDemand(
                        last.priority(),
                        last.arrivalsPerSecond() + demand.arrivalsPerSecond(),
                        last.waiting() + demand.waiting()));
            }
        });
        return List.copyOf(classes);
    }
}
