package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The changes that the system proposes for an intent. They are applied when an operator confirms the plan.
 *
 * <pre>{@code
 * String id = plan.id();
 * }</pre>
 *
 * @param basis the offset of the folded state from which the plan was computed
 * @param organisations the organisations that the plan sets
 * @param placements the change to each placement
 */
public record Plan(long basis, List<Organisation> organisations, List<Step> placements) {

    /** Copies the lists defensively. */
    public Plan {
        organisations = List.copyOf(organisations);
        placements = List.copyOf(placements);
    }

    /**
     * Returns the id by which an operator confirms the plan.
     *
     * @return the digest of the plan's canonical form
     */
    public String id() {
        return CanonicalJson.digest(this);
    }

    /**
     * Returns the keys of the organisations, placements and instances that the plan changes.
     *
     * @return the keys, as in {@link FoldedState#touched}
     */
    public Set<String> changedKeys() {
        Set<String> keys = new TreeSet<>();
        organisations.forEach(organisation -> keys.add("organisation/" + organisation.name()));
        placements.forEach(step -> {
            keys.add("placement/" + step.placement().name());
            step.moves().forEach(instance -> keys.add("instance/" + instance));
        });
        return keys;
    }

    /**
     * The change to one placement.
     *
     * @param placement the placement after the change
     * @param chains the replicas, in the order in which they relay weights
     * @param moves the ids of the instances that must receive weights
     * @param removed the ids of the instances that stop serving the placement
     * @param estimate the expected cost
     */
    public record Step(
            Placement placement,
            List<List<Replica>> chains,
            List<String> moves,
            List<String> removed,
            Estimate estimate) {

        /** Rejects null values and copies the lists defensively. */
        public Step {
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(estimate, "estimate is null");
            chains = chains.stream().map(List::copyOf).toList();
            moves = List.copyOf(moves);
            removed = List.copyOf(removed);
        }

        /**
         * Returns all replicas, chain by chain.
         *
         * @return the replicas
         */
        @JsonIgnore
        public List<Replica> replicas() {
            return chains.stream().flatMap(List::stream).toList();
        }
    }

    /**
     * The expected cost of a step.
     *
     * @param bytes the size of the weights that each instance receives
     * @param originBytes the bytes that the first instances of the chains fetch from the origin
     * @param hallCrossings the number of copies sent from one data hall to another
     * @param millis the expected time until the last replica has its weights, in milliseconds
     */
    public record Estimate(long bytes, long originBytes, int hallCrossings, long millis) {}
}
