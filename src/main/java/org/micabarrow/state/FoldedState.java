package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The active configuration: the result of folding all records up to an offset.
 *
 * <pre>{@code
 * FoldedState next = Reducer.fold(FoldedState.empty(), 0, record).state();
 * }</pre>
 *
 * @param offset the offset of the last folded record, −1 before the first; it is the generation of the configuration
 * @param placements the active placements by name
 * @param organisations the organisations by name
 * @param proposals the plans that may still be confirmed, by plan id
 * @param touched the offset of the last change to each placement, organisation and instance, by key
 * @param seen the verdicts on the latest records, by record id, so that repeated records are recognised
 */
public record FoldedState(
        long offset,
        SortedMap<String, ActivePlacement> placements,
        SortedMap<String, Organisation> organisations,
        SortedMap<String, Proposal> proposals,
        SortedMap<String, Long> touched,
        SortedMap<String, RecordVerdict> seen) {

    private static final FoldedState EMPTY =
            new FoldedState(-1, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

    /** Makes the maps unmodifiable. */
    public FoldedState {
        placements = Collections.unmodifiableSortedMap(placements);
        organisations = Collections.unmodifiableSortedMap(organisations);
        proposals = Collections.unmodifiableSortedMap(proposals);
        touched = Collections.unmodifiableSortedMap(touched);
        seen = Collections.unmodifiableSortedMap(seen);
    }

    /**
     * Returns the state before the first record.
     *
     * @return the empty state
     */
    public static FoldedState empty() {
        return EMPTY;
    }

    /**
     * Computes the digest by which nodes compare their states.
     *
     * @return the digest of the canonical form
     */
    public String digest() {
        return CanonicalJson.digest(this);
    }

    /**
     * Finds an active placement.
     *
     * @param name the name of the placement
     * @return the placement, empty if none is active under this name
     */
    public Optional<ActivePlacement> activePlacement(String name) {
        return Optional.ofNullable(placements.get(name));
    }

    /**
     * Finds the organisation that a token belongs to.
     *
     * @param tokenDigest the digest of the token
     * @return the organisation, empty if the token is unknown
     */
    public Optional<Organisation> organisationOf(String tokenDigest) {
        return organisations.values().stream()
                .filter(organisation -> organisation.tokenDigest().equals(tokenDigest))
                .findFirst();
    }

    /**
     * An active placement with its replicas.
     *
     * @param placement the placement as confirmed
     * @param planId the id of the plan that set it
     * @param since the offset of the confirmation
     * @param chains the replicas in the order in which they relay weights
     * @param replaced the number of replicas replaced under the envelope
     * @param drawn the bytes granted from the origin in addition to those of the plan
     * @param previous the workload that continues to serve until the new one is ready
     */
    public record ActivePlacement(
            Placement placement,
            String planId,
            long since,
            List<List<Replica>> chains,
            int replaced,
            long drawn,
            Optional<Workload> previous) {

        /** Rejects null values and copies the lists defensively. */
        public ActivePlacement {
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(planId, "planId is null");
            Objects.requireNonNull(previous, "previous is null");
            chains = chains.stream().map(List::copyOf).toList();
        }

        /**
         * Returns a copy in which one more replica is replaced.
         *
         * @param newChains the chains with the replacement
         * @return the changed placement
         */
        ActivePlacement withReplacement(List<List<Replica>> newChains) {
            return new ActivePlacement(placement, planId, since, newChains, replaced + 1, drawn, previous);
        }

        /**
         * Returns a copy with a new total of granted origin bytes.
         *
         * @param totalBytes all bytes granted so far
         * @return the changed placement
         */
        ActivePlacement withDrawn(long totalBytes) {
            return new ActivePlacement(placement, planId, since, chains, replaced, totalBytes, previous);
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

        /**
         * Finds the replica on an instance.
         *
         * @param instance the id of the instance
         * @return the replica, empty if the placement has none there
         */
        public Optional<Replica> replicaOn(String instance) {
            return replicas().stream()
                    .filter(replica -> replica.instance().equals(instance))
                    .findFirst();
        }
    }

    /**
     * A proposed plan that may be confirmed.
     *
     * @param offset the offset of the record that proposed it
     * @param plan the plan
     */
    public record Proposal(long offset, Plan plan) {}

    /**
     * The verdict on a folded record.
     *
     * @param offset the offset at which the record was first folded
     * @param verdict what the reducer decided
     */
    public record RecordVerdict(long offset, Verdict verdict) {}
}
