package org.micabarrow.admission;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Measures which fraction of its requests each class, organisation and size of prompt was served, and finds those that
 * fall below their floor. Not thread-safe: confined to one thread.
 */
final class ServedFractions {

    /** Decay time of the counts, in milliseconds: long enough for some requests of a rare class. */
    private static final double DECAY_MILLIS = 4_000;

    /** A class or organisation must be served at least this often relative to all requests. Owed is a quarter. */
    private static final double FLOOR_FRACTION = 0.35;

    /** Large prompts must be served at least this often relative to their class. Owed is half. */
    private static final double LARGE_FLOOR_FRACTION = 0.7;

    /** The decayed number of requests below which a fraction says nothing. */
    private static final double MIN_REQUESTS = 3;

    private final Counts all = new Counts();
    private final Map<Integer, Counts> byClass = new HashMap<>();
    private final Map<String, Counts> byOrganisation = new HashMap<>();
    private final Map<Integer, PromptSizes> sizes = new HashMap<>();

    private static final class Counts {

        private final DecayedCount requests = new DecayedCount(DECAY_MILLIS);
        private final DecayedCount served = new DecayedCount(DECAY_MILLIS);

        private void add(boolean wasServed, long nowMillis) {
            requests.add(1, nowMillis);
            served.add(wasServed ? 1 : 0, nowMillis);
        }

        private double fraction(long nowMillis) {
            double count = requests.value(nowMillis);
            return count < MIN_REQUESTS ? 1 : served.value(nowMillis) / count;
        }
    }

    private static final class PromptSizes {

        private final SizeDistribution sizes = new SizeDistribution();
        private final Map<SizeBand, Counts> byBand = new EnumMap<>(SizeBand.class);

        private Counts counts(int tokens) {
            return byBand.computeIfAbsent(sizes.band(tokens), band -> new Counts());
        }
    }

    // -- measurements

    void ended(int priority, Optional<String> organisation, int promptTokens, boolean served, long nowMillis) {
        all.add(served, nowMillis);
        byClass.computeIfAbsent(priority, key -> new Counts()).add(served, nowMillis);
        organisation.ifPresent(name ->
                byOrganisation.computeIfAbsent(name, key -> new Counts()).add(served, nowMillis));
        PromptSizes ofClass = sizes.computeIfAbsent(priority, key -> new PromptSizes());
        ofClass.sizes.add(promptTokens);
        ofClass.counts(promptTokens).add(served, nowMillis);
    }

    // -- decisions

    double ofClass(int priority, long nowMillis) {
        Counts counts = byClass.get(priority);
        return counts == null ? 1 : counts.fraction(nowMillis);
    }

    /** Returns whether a request's class, organisation or size has been served less often than its floor. */
    boolean belowFloor(int priority, Optional<String> organisation, int promptTokens, long nowMillis) {
        Counts ofClass = byClass.get(priority);
        if (ofClass == null) {
            return false;
        }
        double floor = FLOOR_FRACTION * all.fraction(nowMillis);
        double classFraction = ofClass.fraction(nowMillis);
        return classFraction < floor
                || organisation
                        .map(byOrganisation::get)
                        .filter(counts -> counts.fraction(nowMillis) < floor)
                        .isPresent()
                || sizes.get(priority).counts(promptTokens).fraction(nowMillis) < LARGE_FLOOR_FRACTION * classFraction;
    }
}
