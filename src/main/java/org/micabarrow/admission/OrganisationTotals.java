package org.micabarrow.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Adds up the use of organisations over entries. */
final class OrganisationTotals {

    private OrganisationTotals() {}

    /** Returns the organisations that use most over all entries, the heaviest first. */
    static List<OrganisationUsage> heaviest(List<EntryDemand> demands) {
        Map<Integer, Long> totals = new HashMap<>();
        demands.forEach(demand -> demand.organisations()
                .forEach(one -> totals.merge(one.token(), (long) one.tokensPerSecond(), Long::sum)));
        return totals.entrySet().stream()
                .sorted(Map.Entry.<Integer, Long>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(EntryDemand.MAX_ORGANISATIONS)
                .map(one -> new OrganisationUsage(one.getKey(), (int) Math.min(one.getValue(), Integer.MAX_VALUE)))
                .toList();
    }
}
