package org.micabarrow.limits;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.micabarrow.state.Digest;

/**
 * The rank of an entry among the entries that query one agent.
 *
 * @param rank the number of entries before it
 * @param entries the number of entries
 */
public record EntryRank(int rank, int entries) {

    /** Checks that the rank is from 0 to {@code entries - 1}. */
    public EntryRank {
        if (rank < 0 || rank >= entries) {
            throw new IllegalArgumentException("rank " + rank + " is out of range for " + entries + " entries");
        }
    }

    /**
     * Ranks entries by rendezvous hashing. An entry that is added or removed moves each of the others by at most one
     * rank. Agents produce different rankings, so that the limits of several endpoints are not left to the same few
     * entries.
     *
     * @param entries the names of the entries
     * @param agent the agent's name
     * @return the rank of each entry
     */
    public static Map<String, EntryRank> ranks(Collection<String> entries, String agent) {
        Objects.requireNonNull(agent, "agent is null");
        Map<String, Long> hashes = new HashMap<>();
        entries.forEach(entry -> hashes.put(entry, Digest.rank(entry, agent)));
        List<String> inOrder = hashes.keySet().stream()
                .sorted(Comparator.comparing(hashes::get))
                .toList();
        Map<String, EntryRank> ranks = new HashMap<>();
        inOrder.forEach(entry -> ranks.put(entry, new EntryRank(ranks.size(), inOrder.size())));
        return ranks;
    }
}
