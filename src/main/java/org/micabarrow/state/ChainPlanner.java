package org.micabarrow.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Arranges the replicas of a placement in chains, along which instances relay weights, and estimates the cost. */
final class ChainPlanner {

    /** The maximum number of chains of one placement that receive weights from the origin at the same time. */
    private static final int MAX_ORIGIN_FEEDS = 3;

    private final Links links;
    private final Placement placement;
    private final Set<String> moves;

    /**
     * Creates a planner for the chains of one placement.
     *
     * @param links the rates of the links
     * @param placement the placement
     * @param moves the ids of the instances that must receive the weights
     */
    ChainPlanner(Links links, Placement placement, Set<String> moves) {
        this.links = links;
        this.placement = placement;
        this.moves = moves;
    }

    /**
     * Divides the instances that must receive weights into chains. The instances that already hold the weights follow in
     * one last list.
     */
    List<List<Replica>> chainsFor(List<Instance> selected) {
        List<Replica> receiving = replicasInRelayOrder(selected, instance -> moves.contains(instance.id()));
        List<Replica> holding = replicasInRelayOrder(selected, instance -> !moves.contains(instance.id()));
        int feeds = Math.min(originFeeds(), receiving.size());
        List<List<Replica>> chains = new ArrayList<>();
        for (int feed = 0; feed < feeds; feed++) {
            int from = feed * receiving.size() / feeds;
            int to = (feed + 1) * receiving.size() / feeds;
            chains.add(receiving.subList(from, to));
        }
        if (!holding.isEmpty()) {
            chains.add(holding);
        }
        return chains;
    }

    private static List<Replica> replicasInRelayOrder(List<Instance> selected, Predicate<Instance> filter) {
        return selected.stream()
                .filter(filter)
                .sorted(Comparator.comparing(Instance::region)
                        .thenComparing(Instance::hall)
                        .thenComparing(Instance::id))
                .map(Instance::replica)
                .toList();
    }

    private int originFeeds() {
        return switch (placement.prefer()) {
            case ORIGIN_BYTES -> 1;
            case TIME -> Math.min(MAX_ORIGIN_FEEDS, links.fullRateChains());
        };
    }

    /** Estimates the traffic and the time for the transfer of the weights along the chains. */
    Plan.Estimate estimate(List<List<Replica>> chains) {
        long bytes = InstanceSelector.bytesOf(placement.workload());
        if (moves.isEmpty()) {
            return new Plan.Estimate(bytes, 0, 0, 0);
        }
        long originCopies = chains.stream()
                .filter(chain -> moves.contains(chain.getFirst().instance()))
                .count();
        int chunks = placement.workload().artifacts().stream()
                .mapToInt(Artifact::chunks)
                .sum();
        int longestChain = chains.stream().mapToInt(List::size).max().orElse(0);
        long copyMillis = links.lowerBoundMillis(bytes);
        long originMillis = 1000 * originCopies * bytes / links.originBytesPerSecond();
        long relayMillis = longestChain * copyMillis / Math.max(1, chunks);
        return new Plan.Estimate(
                bytes, originCopies * bytes, hallCrossings(chains), Math.max(copyMillis, originMillis) + relayMillis);
    }

    private int hallCrossings(List<List<Replica>> chains) {
        int hallCrossings = 0;
        for (List<Replica> chain : chains) {
            for (int i = 1; i < chain.size(); i++) {
                boolean differentHall =
                        !chain.get(i).hall().equals(chain.get(i - 1).hall());
                if (differentHall && moves.contains(chain.get(i).instance())) {
                    hallCrossings++;
                }
            }
        }
        return hallCrossings;
    }
}
