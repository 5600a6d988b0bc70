package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

/**
 * The system's answer to an intent: what would be done if an operator confirmed it.
 *
 * <pre>{@code
 * String id = plan.id();
 * }</pre>
 *
 * @param basis the offset of the folded state from which it was worked out
 * @param organisations the organisations it sets
 * @param placements what it does for each placement
 */
public record Plan(long basis, List<Organisation> organisations, List<Step> placements) {

    /** Copies the lists. */
    public Plan {
        organisations = List.copyOf(organisations);
        placements = List.copyOf(placements);
    }

    /**
     * The name by which an operator confirms it.
     *
     * @return the digest of its canonical form
     */
    public String id() {
        return CanonicalJson.digest(this);
    }

    /**
     * The parts of the folded state that it changes.
     *
     * @return keys of organisations, placements and instances
     */
    public Set<String> touches() {
        Set<String> keys = new TreeSet<>();
        organisations.forEach(organisation -> keys.add("organisation/" + organisation.name()));
        placements.forEach(step -> {
            keys.add("placement/" + step.placement().name());
            step.moves().forEach(instance -> keys.add("instance/" + instance));
        });
        return keys;
    }

    /**
     * What is done for one placement.
     *
     * @param placement the placement as it will be
     * @param chains the replicas, in the order in which weights pass from each to the next
     * @param moves the instances that must receive weights
     * @param removed the instances that stop serving it
     * @param estimate what it costs
     */
    public record Step(
            Placement placement,
            List<List<Replica>> chains,
            List<String> moves,
            List<String> removed,
            Estimate estimate) {

        /** Copies the lists. */
        public Step {
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(estimate, "estimate is null");
            chains = chains.stream().map(List::copyOf).toList();
            moves = List.copyOf(moves);
            removed = List.copyOf(removed);
        }

        /**
         * All replicas, chain by chain.
         *
         * @return the replicas
         */
        @JsonIgnore
        public List<Replica> replicas() {
            return chains.stream().flatMap(List::stream).toList();
        }
    }

    /**
     * What a step costs.
     *
     * @param bytes the size of the weights that each move carries
     * @param originBytes bytes drawn from the origin by the heads of the chains
     * @param hallCrossings copies that pass from one data hall to another
     * @param millis the expected time until the last replica has its weights, in milliseconds
     */
    public record Estimate(long bytes, long originBytes, int hallCrossings, long millis) {}
}
