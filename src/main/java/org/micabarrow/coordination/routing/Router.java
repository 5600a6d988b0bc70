package org.micabarrow.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.micabarrow.coordination.admission.ReservedSlots;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;

/**
 * Selects the replica for a request. It first excludes every replica that is not eligible, with a reason for each. It
 * then samples two of the remaining ones at random and selects the one with the shorter expected wait; up to three
 * remaining replicas are all compared.
 *
 * <pre>{@code
 * Router.Decision decision = router.route(placed, peers, criteria);
 * }</pre>
 */
public final class Router {

    /** Added to the expected wait for a replica in another data hall of the region, in milliseconds. */
    private static final double OTHER_HALL_MILLIS = 3;

    /** Added to the expected wait for a replica in another region, in milliseconds. */
    private static final double OTHER_REGION_MILLIS = 6;

    /** Time to first byte assumed for an instance that has not responded yet, in milliseconds. */
    private static final double DEFAULT_FIRST_BYTE_MILLIS = 100;

    /** The age at which a reported load has half its weight, in milliseconds. */
    private static final double LOAD_HALF_LIFE_MILLIS = 1_000;

    /** Up to this number of usable replicas all are compared; of a larger number, two are sampled. */
    private static final int MAX_COMPARED_REPLICAS = 3;

    private final String region;
    private final String hall;
    private final InstanceStats stats;
    private final PrefixIndex prefixes;
    private final RandomGenerator random;

    /**
     * Creates a router.
     *
     * @param region the entry's region
     * @param hall the entry's data hall
     * @param stats the entry's own measurements of each instance
     * @param prefixes the instances that probably have prompt prefixes in their caches
     * @param random samples the candidates
     */
    public Router(String region, String hall, InstanceStats stats, PrefixIndex prefixes, RandomGenerator random) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.hall = Objects.requireNonNull(hall, "hall is null");
        this.stats = Objects.requireNonNull(stats, "stats is null");
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * The properties of a request that routing depends on.
     *
     * @param prefix the prompt's block identifiers, shortest prefix first; empty if there is no prompt
     * @param shortRequest whether it may use the slots reserved for short requests
     * @param tried the instances that earlier attempts were sent to
     * @param nowMillis the current time
     */
    public record Criteria(List<Long> prefix, boolean shortRequest, Set<String> tried, long nowMillis) {

        /** Copies the collections. */
        public Criteria {
            prefix = List.copyOf(prefix);
            tried = Set.copyOf(tried);
        }
    }

    /**
     * A routing decision.
     *
     * @param chosen the selected replica, empty if none is eligible
     * @param expectedWaitMillis the expected time to the first byte of the response, in milliseconds
     * @param exclusions the excluded replicas
     */
    public record Decision(Optional<Replica> chosen, double expectedWaitMillis, List<Exclusion> exclusions) {

        /** Copies the list. */
        public Decision {
            exclusions = List.copyOf(exclusions);
        }
    }

    /**
     * Selects a replica for a request.
     *
     * @param placed the placement under which it runs
     * @param peers the current views of the agents, by instance
     * @param criteria the request's properties
     * @return the decision
     */
    public Decision route(FoldedState.ActivePlacement placed, Map<String, PeerView> peers, Criteria criteria) {
        List<Exclusion> exclusions = new ArrayList<>();
        List<Replica> eligible = new ArrayList<>();
        List<Replica> ejected = new ArrayList<>();
        for (Replica replica : placed.replicas()) {
            Optional<Exclusion.Reason> reason = exclusionReason(placed, peers, replica, criteria);
            reason.map(value -> new Exclusion(replica, value)).ifPresent(exclusions::add);
            if (reason.isEmpty()) {
                eligible.add(replica);
            } else if (reason.get() == Exclusion.Reason.EJECTED) {
                ejected.add(replica);
            }
        }
        // If every otherwise eligible replica is ejected, ejection does not distinguish between them and is ignored.
        List<Replica> usable = eligible.isEmpty() ? ejected : eligible;
        Optional<Replica> chosen = sampleCandidates(usable).stream()
                .min(Comparator.comparingDouble(replica -> expectedWaitMillis(replica, peers, criteria)));
        double wait = chosen.map(replica -> expectedWaitMillis(replica, peers, criteria))
                .orElse(0.0);
        return new Decision(chosen, wait, exclusions);
    }

    private Optional<Exclusion.Reason> exclusionReason(
            FoldedState.ActivePlacement placed, Map<String, PeerView> peers, Replica replica, Criteria criteria) {
        PeerView peer = peers.get(replica.instance());
        if (!placed.placement().allows(replica.region(), replica.hall())) {
            return Optional.of(Exclusion.Reason.OUTSIDE_PLACEMENT);
        }
        if (criteria.tried().contains(replica.instance())) {
            return Optional.of(Exclusion.Reason.TRIED);
        }
        if (peer == null || !peer.reachable()) {
            return Optional.of(Exclusion.Reason.NOT_HEARD);
        }
        if (peer.leaving()) {
            return Optional.of(Exclusion.Reason.LEAVING);
        }
        boolean ready = Optional.ofNullable(
                        peer.replicas().get(placed.placement().name()))
                .flatMap(ReplicaView::serving)
                .isPresent();
        if (!ready) {
            return Optional.of(Exclusion.Reason.NOT_READY);
        }
        boolean isFull = stats.isFull(replica.instance(), criteria.nowMillis())
                || load(peer, criteria.nowMillis()) >= usableSlots(peer, criteria);
        if (isFull) {
            return Optional.of(Exclusion.Reason.FULL);
        }
        return stats.isEjected(replica.instance(), criteria.nowMillis())
                ? Optional.of(Exclusion.Reason.EJECTED)
                : Optional.empty();
    }

    /** The slots that a request may use: long requests must leave the reserved slots to short ones. */
    private static int usableSlots(PeerView peer, Criteria criteria) {
        int limit = peer.load().limit();
        return criteria.shortRequest() ? limit : Math.max(1, limit - ReservedSlots.forShortRequests(limit));
    }

    private List<Replica> sampleCandidates(List<Replica> usable) {
        if (usable.size() <= MAX_COMPARED_REPLICAS) {
            return usable;
        }
        int first = random.nextInt(usable.size());
        int second = (first + 1 + random.nextInt(usable.size() - 1)) % usable.size();
        return List.of(usable.get(first), usable.get(second));
    }

    /**
     * The larger of this entry's own requests in flight and the load that the agent reported, which is discounted by its
     * age.
     */
    private double load(PeerView peer, long nowMillis) {
        double ageMillis = Math.max(0, nowMillis - peer.load().atMillis());
        double reported =
                (peer.load().inFlight() + peer.load().queued()) * Math.pow(0.5, ageMillis / LOAD_HALF_LIFE_MILLIS);
        return Math.max(stats.inFlight(peer.instance()), reported);
    }

    private double expectedWaitMillis(Replica replica, Map<String, PeerView> peers, Criteria criteria) {
        PeerView peer = peers.get(replica.instance());
        double measured = stats.firstByteMillis(replica.instance());
        double firstByteMillis = measured == 0 ? DEFAULT_FIRST_BYTE_MILLIS : measured;
        double load = load(peer, criteria.nowMillis());
        double utilization = (load + 1) / Math.max(1, peer.load().limit());
        double savedMillis = prefixes.savedMillis(criteria.prefix(), replica.instance(), criteria.nowMillis());
        return Math.max(0, firstByteMillis * utilization + distanceMillis(replica) - savedMillis);
    }

    private double distanceMillis(Replica replica) {
        if (replica.hall().equals(hall)) {
            return 0;
        }
        return replica.region().equals(region) ? OTHER_HALL_MILLIS : OTHER_REGION_MILLIS;
    }
}
