package org.micabarrow.state;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration in force: all records up to an offset, folded.
 *
 * <pre>{@code
 * FoldedState next = Reducer.fold(FoldedState.empty(), 0, record).state();
 * }</pre>
 *
 * @param offset the offset of the last record folded, −1 at the start; it is the generation
 * @param placements the placements by name
 * @param organisations the organisations by name
 * @param proposals the plans that may still be confirmed, by id
 * @param touched the offset at which each part last changed
 * @param seen the verdicts on the latest records, by record id
 */
public record FoldedState(
        long offset,
        SortedMap<String, Placed> placements,
        SortedMap<String, Organisation> organisations,
        SortedMap<String, Proposal> proposals,
        SortedMap<String, Long> touched,
        SortedMap<String, Seen> seen) {

    private static final FoldedState EMPTY =
            new FoldedState(-1, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>());

    /** Closes the maps against change. */
    public FoldedState {
        placements = Collections.unmodifiableSortedMap(placements);
        organisations = Collections.unmodifiableSortedMap(organisations);
        proposals = Collections.unmodifiableSortedMap(proposals);
        touched = Collections.unmodifiableSortedMap(touched);
        seen = Collections.unmodifiableSortedMap(seen);
    }

    /**
     * The state before the first record.
     *
     * @return the empty state
     */
    public static FoldedState empty() {
        return EMPTY;
    }

    /**
     * The digest by which two nodes compare their states.
     *
     * @return the digest of the canonical form
     */
    public String digest() {
        return CanonicalJson.digest(this);
    }

    /**
     * A placement in force.
     *
     * @param name its name
     * @return the placement, if there is one
     */
    public Optional<Placed> placed(String name) {
        return Optional.ofNullable(placements.get(name));
    }

    /**
     * The organisation that holds a token.
     *
     * @param tokenDigest the digest of the token
     * @return the organisation, if one is known
     */
    public Optional<Organisation> organisationOf(String tokenDigest) {
        return organisations.values().stream()
                .filter(organisation -> organisation.tokenDigest().equals(tokenDigest))
                .findFirst();
    }

    /**
     * A placement in force with the instances that carry it.
     *
     * @param placement the placement
     * @param planId the plan that set it
     * @param since the offset of the confirmation
     * @param chains the replicas in relay order
     * @param replaced how many replicas have been replaced inside the envelope
     * @param drawn bytes granted from the origin beyond the plan's feeds
     * @param previous the workload that served before, until the new one is ready
     */
    public record Placed(
            Placement placement,
            String planId,
            long since,
            List<List<Replica>> chains,
            int replaced,
            long drawn,
            Optional<Workload> previous) {

        /** Copies the lists. */
        public Placed {
            Objects.requireNonNull(placement, "placement is null");
            Objects.requireNonNull(planId, "planId is null");
            Objects.requireNonNull(previous, "previous is null");
            chains = chains.stream().map(List::copyOf).toList();
        }

        /**
         * The same placement after one more replacement.
         *
         * @param next the replicas with the replacement
         * @return the placement
         */
        Placed withReplacement(List<List<Replica>> next) {
            return new Placed(placement, planId, since, next, replaced + 1, drawn, previous);
        }

        /**
         * The same placement after a further draw on the origin.
         *
         * @param bytes all bytes granted so far
         * @return the placement
         */
        Placed withDrawn(long bytes) {
            return new Placed(placement, planId, since, chains, replaced, bytes, previous);
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

        /**
         * The replica on an instance.
         *
         * @param instance the instance
         * @return the replica, if the placement has one there
         */
        public Optional<Replica> replicaOn(String instance) {
            return replicas().stream()
                    .filter(replica -> replica.instance().equals(instance))
                    .findFirst();
        }
    }

    /**
     * A plan that may be confirmed.
     *
     * @param offset the offset of its record
     * @param plan the plan
     */
    public record Proposal(long offset, Plan plan) {}

    /**
     * The verdict on a record.
     *
     * @param offset the offset at which the record was first folded
     * @param verdict the verdict
     */
    public record Seen(long offset, Verdict verdict) {}
}
