package org.micabarrow.coordination.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Replica;

/**
 * Which of a placement's replicas one entry keeps in touch with, so that an entry's cost does not grow with the number
 * of instances. Each entry draws its own by rendezvous hashing, evenly over the data halls.
 *
 * <pre>{@code
 * List<Replica> mine = Subset.of("entry-1", placed.replicas(), 16);
 * }</pre>
 */
public final class Subset {

    private Subset() {}

    /**
     * Draws an entry's replicas.
     *
     * @param entry the entry
     * @param replicas all replicas
     * @param most how many to draw at most
     * @return the replicas drawn
     */
    public static List<Replica> of(String entry, List<Replica> replicas, int most) {
        Objects.requireNonNull(entry, "entry is null");
        if (replicas.size() <= most) {
            return List.copyOf(replicas);
        }
        Map<String, Integer> perHall = new HashMap<>();
        List<Ranked> ranked = new ArrayList<>();
        replicas.stream()
                .sorted(Comparator.comparingLong(replica -> Digest.rank(entry, replica.instance())))
                .forEach(replica -> ranked.add(new Ranked(replica, perHall.merge(replica.hall(), 1, Integer::sum))));
        return ranked.stream()
                .sorted(Comparator.comparingInt(Ranked::rank))
                .limit(most)
                .map(Ranked::replica)
                .toList();
    }

    /** A replica with its rank among those of its hall. */
    private record Ranked(Replica replica, int rank) {}
}
