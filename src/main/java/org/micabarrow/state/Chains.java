package org.micabarrow.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** The chains along which a placement's weights pass from instance to instance, and what that is estimated to take. */
final class Chains {

    /** The most chains of one placement that the origin feeds at once. */
    private static final int MOST_FEEDS = 3;

    private final Links links;
    private final Placement placement;
    private final Set<String> moves;

    /**
     * Makes the chains of one placement.
     *
     * @param links what the links carry
     * @param placement the placement
     * @param moves the instances that must receive the weights
     */
    Chains(Links links, Placement placement, Set<String> moves) {
        this.links = links;
        this.placement = placement;
        this.moves = moves;
    }

    /** Instances that must receive weights form the chains; those that hold them already come last, in one list. */
    List<List<Replica>> of(List<Instance> chosen) {
        List<Replica> moving = ordered(chosen, instance -> moves.contains(instance.id()));
        List<Replica> holding = ordered(chosen, instance -> !moves.contains(instance.id()));
        int feeds = Math.min(feeds(), moving.size());
        List<List<Replica>> chains = new ArrayList<>();
        for (int feed = 0; feed < feeds; feed++) {
            int from = feed * moving.size() / feeds;
            int to = (feed + 1) * moving.size() / feeds;
            chains.add(moving.subList(from, to));
        }
        if (!holding.isEmpty()) {
            chains.add(holding);
        }
        return chains;
    }

    private static List<Replica> ordered(List<Instance> chosen, Predicate<Instance> which) {
        return chosen.stream()
                .filter(which)
                .sorted(Comparator.comparing(Instance::region)
                        .thenComparing(Instance::hall)
                        .thenComparing(Instance::id))
                .map(Instance::replica)
                .toList();
    }

    private int feeds() {
        return switch (placement.prefer()) {
            case ORIGIN_BYTES -> 1;
            case TIME -> Math.min(MOST_FEEDS, links.feeds());
        };
    }

    /** What it takes to bring the weights along the chains. */
    Plan.Estimate estimate(List<List<Replica>> chains) {
        long bytes = Candidates.bytesOf(placement.workload());
        if (moves.isEmpty()) {
            return new Plan.Estimate(bytes, 0, 0, 0);
        }
        long heads = chains.stream()
                .filter(chain -> moves.contains(chain.getFirst().instance()))
                .count();
        int chunks = placement.workload().artifacts().stream()
                .mapToInt(Artifact::chunks)
                .sum();
        int depth = chains.stream().mapToInt(List::size).max().orElse(0);
        long copyMillis = links.lowerBoundMillis(bytes);
        long originMillis = 1000 * heads * bytes / links.originBytesPerSecond();
        long passMillis = depth * copyMillis / Math.max(1, chunks);
        return new Plan.Estimate(
                bytes, heads * bytes, crossings(chains), Math.max(copyMillis, originMillis) + passMillis);
    }

    private int crossings(List<List<Replica>> chains) {
        int crossings = 0;
        for (List<Replica> chain : chains) {
            for (int i = 1; i < chain.size(); i++) {
                boolean crosses = !chain.get(i).hall().equals(chain.get(i - 1).hall());
                if (crosses && moves.contains(chain.get(i).instance())) {
                    crossings++;
                }
            }
        }
        return crossings;
    }
}
