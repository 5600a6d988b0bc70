package org.micabarrow.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides the capacity that a class gets among its organisations by max-min fairness: each gets what it asks for, up to
 * a level at which all that was served is used up. An organisation above the level counts as over its part; its requests
 * rank behind those of the others of its class. While nearly everything is served, none is over its part. Not
 * thread-safe: confined to one thread.
 */
final class OrganisationShares {

    /** Decay time of demand and use, in milliseconds: what an organisation sent in the last seconds counts. */
    private static final double DECAY_MILLIS = 2_000;

    /** The part of the demand that must be served for capacity to count as sufficient. */
    private static final double SUFFICIENT_FRACTION = 0.95;

    /** How long a computed level is used, in milliseconds. */
    private static final long LEVEL_VALID_MILLIS = 50;

    /** How long agents' totals are used, in milliseconds: two of the longest intervals between their reports. */
    private static final long TOTALS_VALID_MILLIS = 1_000;

    private final Map<Integer, ClassUse> classes = new HashMap<>();
    private final Map<String, DecayedCount> totalUse = new HashMap<>();
    private Map<Integer, Double> globalUse = Map.of();
    private long globalUseAtMillis = -TOTALS_VALID_MILLIS - 1;

    private static final class ClassUse {
        private final Map<String, DecayedCount> demand = new HashMap<>();
        private final Map<String, DecayedCount> use = new HashMap<>();
        private double level = Double.POSITIVE_INFINITY;
        private long levelAtMillis = Long.MIN_VALUE / 2;
    }

    // -- measurements

    void served(int priority, String organisation, int tokens, long nowMillis) {
        demanded(priority, organisation, tokens, nowMillis);
        add(classOf(priority).use, organisation, tokens, nowMillis);
        add(totalUse, organisation, tokens, nowMillis);
    }

    void demanded(int priority, String organisation, int tokens, long nowMillis) {
        add(classOf(priority).demand, organisation, tokens, nowMillis);
    }

    private ClassUse classOf(int priority) {
        return classes.computeIfAbsent(priority, key -> new ClassUse());
    }

    private static void add(Map<String, DecayedCount> counts, String organisation, int tokens, long nowMillis) {
        counts.computeIfAbsent(organisation, name -> new DecayedCount(DECAY_MILLIS))
                .add(tokens, nowMillis);
    }

    /** Records the use of the heaviest organisations at all entries, as agents have added it up. */
    void totalsReported(List<OrganisationUsage> organisations, int entries, long nowMillis) {
        Map<Integer, Double> perEntry = new HashMap<>();
        organisations.forEach(one -> perEntry.put(one.token(), (double) one.tokensPerSecond() / Math.max(1, entries)));
        globalUse = perEntry;
        globalUseAtMillis = nowMillis;
    }

    // -- decisions

    /** Returns the organisations that use most at this entry, the heaviest first. */
    List<OrganisationUsage> heaviest(long nowMillis) {
        return totalUse.entrySet().stream()
                .map(one -> new OrganisationUsage(OrganisationUsage.token(one.getKey()), (int)
                        Math.round(one.getValue().perSecond(nowMillis))))
                .filter(one -> one.tokensPerSecond() > 0)
                .sorted(Comparator.comparingInt(OrganisationUsage::tokensPerSecond)
                        .reversed()
                        .thenComparingInt(OrganisationUsage::token))
                .limit(EntryDemand.MAX_ORGANISATIONS)
                .toList();
    }

    /** Returns whether an organisation has got more of its class's capacity than its part. */
    boolean overItsPart(int priority, Optional<String> organisation, long nowMillis) {
        ClassUse use = classes.get(priority);
        if (organisation.isEmpty() || use == null || !use.use.containsKey(organisation.get())) {
            return false;
        }
        if (nowMillis - use.levelAtMillis > LEVEL_VALID_MILLIS) {
            use.level = level(use, nowMillis);
            use.levelAtMillis = nowMillis;
        }
        double own = use.use.get(organisation.get()).value(nowMillis);
        return own * globalFactor(organisation.get(), nowMillis) > use.level;
    }

    /** By how much the organisation uses more per entry than at this entry; 1 if it does not. */
    private double globalFactor(String organisation, long nowMillis) {
        Double perEntry = globalUse.get(OrganisationUsage.token(organisation));
        if (perEntry == null || nowMillis - globalUseAtMillis > TOTALS_VALID_MILLIS) {
            return 1;
        }
        double here = totalUse.get(organisation).perSecond(nowMillis);
        return here <= 0 ? 1 : Math.max(1, perEntry / here);
    }

    /** The max-min level: what all organisations demand up to it is what was served. */
    private static double level(ClassUse use, long nowMillis) {
        double[] demands = use.demand.values().stream()
                .mapToDouble(count -> count.value(nowMillis))
                .sorted()
                .toArray();
        double left = use.use.values().stream()
                .mapToDouble(count -> count.value(nowMillis))
                .sum();
        double all = 0;
        for (double demand : demands) {
            all += demand;
        }
        if (left >= SUFFICIENT_FRACTION * all) {
            return Double.POSITIVE_INFINITY;
        }
        for (int i = 0; i < demands.length; i++) {
            double each = left / (demands.length - i);
            if (demands[i] >= each) {
                return each;
            }
            left -= demands[i];
        }
        return Double.POSITIVE_INFINITY;
    }
}
