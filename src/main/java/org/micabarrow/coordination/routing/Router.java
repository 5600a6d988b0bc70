package org.micabarrow.coordination.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.micabarrow.coordination.admission.Room;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;

/**
 * Decides where a request goes. First it leaves out every replica that may not take it, with a reason for each; then it
 * draws two of the others and takes the one with the shorter expected wait.
 *
 * <pre>{@code
 * Router.Decision decision = router.route(placed, peers, wish);
 * }</pre>
 */
public final class Router {

    /** What another data hall of the region adds to the expected wait, in milliseconds. */
    private static final double OTHER_HALL_MILLIS = 3;

    /** What another region adds to the expected wait, in milliseconds. */
    private static final double OTHER_REGION_MILLIS = 6;

    /** The time to the first byte of an instance that has not answered yet, in milliseconds. */
    private static final double USUAL_MILLIS = 100;

    /** After how long a reported load counts for half, in milliseconds. */
    private static final double LOAD_HALF_LIFE_MILLIS = 1_000;

    /** Up to how many usable replicas all are compared; of more, two are drawn. */
    private static final int MOST_EXAMINED_WHOLE = 3;

    private final String region;
    private final String hall;
    private final Traffic traffic;
    private final PrefixIndex prefixes;
    private final RandomGenerator random;

    /**
     * Makes a router.
     *
     * @param region the entry's region
     * @param hall the entry's data hall
     * @param traffic the entry's own figures
     * @param prefixes where prompts have been before
     * @param random draws the candidates
     */
    public Router(String region, String hall, Traffic traffic, PrefixIndex prefixes, RandomGenerator random) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.hall = Objects.requireNonNull(hall, "hall is null");
        this.traffic = Objects.requireNonNull(traffic, "traffic is null");
        this.prefixes = Objects.requireNonNull(prefixes, "prefixes is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * What is asked of the router.
     *
     * @param prefix the digests of the prompt's beginnings, shortest first; empty where there is no prompt
     * @param shortRequest whether it may use the room reserved for short requests
     * @param tried the instances already tried
     * @param nowMillis the time
     */
    public record Wish(List<Long> prefix, boolean shortRequest, Set<String> tried, long nowMillis) {

        /** Copies the collections. */
        public Wish {
            prefix = List.copyOf(prefix);
            tried = Set.copyOf(tried);
        }
    }

    /**
     * What was decided.
     *
     * @param chosen the replica, empty if none may take the request
     * @param expectedWaitMillis the expected time until the answer begins
     * @param exclusions the replicas left out
     */
    public record Decision(Optional<Replica> chosen, double expectedWaitMillis, List<Exclusion> exclusions) {

        /** Copies the list. */
        public Decision {
            exclusions = List.copyOf(exclusions);
        }
    }

    /**
     * Decides on a request.
     *
     * @param placed the placement that allows it
     * @param peers what is known of the agents
     * @param wish the request's properties
     * @return the decision
     */
    public Decision route(FoldedState.ActivePlacement placed, Map<String, PeerView> peers, Wish wish) {
        List<Exclusion> exclusions = new ArrayList<>();
        List<Replica> eligible = new ArrayList<>();
        List<Replica> ejected = new ArrayList<>();
        for (Replica replica : placed.replicas()) {
            Optional<Exclusion.Reason> reason = exclusion(placed, peers, replica, wish);
            reason.map(why -> new Exclusion(replica, why)).ifPresent(exclusions::add);
            if (reason.isEmpty()) {
                eligible.add(replica);
            } else if (reason.get() == Exclusion.Reason.EJECTED) {
                ejected.add(replica);
            }
        }
        // The floor: when every usable replica is ejected, ejection says nothing about any of them.
        List<Replica> usable = eligible.isEmpty() ? ejected : eligible;
        Optional<Replica> chosen = draw(usable).stream()
                .min(Comparator.comparingDouble(replica -> expectedWaitMillis(replica, peers, wish)));
        double wait =
                chosen.map(replica -> expectedWaitMillis(replica, peers, wish)).orElse(0.0);
        return new Decision(chosen, wait, exclusions);
    }

    private Optional<Exclusion.Reason> exclusion(
            FoldedState.ActivePlacement placed, Map<String, PeerView> peers, Replica replica, Wish wish) {
        PeerView peer = peers.get(replica.instance());
        if (!placed.placement().allows(replica.region(), replica.hall())) {
            return Optional.of(Exclusion.Reason.OUTSIDE_PLACEMENT);
        }
        if (wish.tried().contains(replica.instance())) {
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
        boolean full = traffic.isFull(replica.instance(), wish.nowMillis())
                || load(peer, wish.nowMillis()) >= room(peer, wish);
        if (full) {
            return Optional.of(Exclusion.Reason.FULL);
        }
        return traffic.ejected(replica.instance(), wish.nowMillis())
                ? Optional.of(Exclusion.Reason.EJECTED)
                : Optional.empty();
    }

    /** Long requests leave a part of the room to short ones. */
    private static int room(PeerView peer, Wish wish) {
        int limit = peer.load().limit();
        return wish.shortRequest() ? limit : Math.max(1, limit - Room.reservedForShort(limit));
    }

    private List<Replica> draw(List<Replica> usable) {
        if (usable.size() <= MOST_EXAMINED_WHOLE) {
            return usable;
        }
        int first = random.nextInt(usable.size());
        int second = (first + 1 + random.nextInt(usable.size() - 1)) % usable.size();
        return List.of(usable.get(first), usable.get(second));
    }

    /** The entry's own open requests, or the agent's word where that is more, discounted by its age. */
    private double load(PeerView peer, long nowMillis) {
        double age = Math.max(0, nowMillis - peer.load().atMillis());
        double reported = (peer.load().inFlight() + peer.load().queued()) * Math.pow(0.5, age / LOAD_HALF_LIFE_MILLIS);
        return Math.max(traffic.open(peer.instance()), reported);
    }

    private double expectedWaitMillis(Replica replica, Map<String, PeerView> peers, Wish wish) {
        PeerView peer = peers.get(replica.instance());
        double usual = traffic.firstByteMillis(replica.instance());
        double service = usual == 0 ? USUAL_MILLIS : usual;
        double load = load(peer, wish.nowMillis());
        double busy = (load + 1) / Math.max(1, peer.load().limit());
        double saved = prefixes.savedMillis(wish.prefix(), replica.instance(), wish.nowMillis());
        return Math.max(0, service * busy + distanceMillis(replica) - saved);
    }

    private double distanceMillis(Replica replica) {
        if (replica.hall().equals(hall)) {
            return 0;
        }
        return replica.region().equals(region) ? OTHER_HALL_MILLIS : OTHER_REGION_MILLIS;
    }
}
