package org.micabarrow.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The instances on which placements could run, from what they can carry and what the configuration has put on them. The
 * same state and list give the same choice on every node.
 */
public final class Candidates {

    private final FoldedState state;
    private final List<Instance> instances;

    /**
     * Makes the choice between instances.
     *
     * @param state the configuration in force
     * @param instances the instances listed; entries among them are left out
     */
    public Candidates(FoldedState state, List<Instance> instances) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.instances = instances.stream()
                .filter(instance -> !instance.kind().equals(Instance.ENTRY))
                .sorted(Comparator.comparing(Instance::id))
                .toList();
    }

    /** The names that the instances have for something, such as their regions. */
    Set<String> names(Function<Instance, String> name) {
        return instances.stream().map(name).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * The instances on which a placement could run, in no particular order.
     *
     * @param placement the placement
     * @return those of the right kind, in an allowed place, with room, and not leaving
     */
    public Stream<Instance> of(Placement placement) {
        long needed = bytesOf(placement.workload());
        return instances.stream()
                .filter(instance -> !instance.leaving())
                .filter(instance -> instance.runs(placement.workload()))
                .filter(instance -> placement.allows(instance.region(), instance.hall()))
                .filter(instance ->
                        needed == 0 || assignedBytes(instance, placement.name()) + needed <= instance.capacityBytes());
    }

    private long assignedBytes(Instance instance, String except) {
        return state.placements().values().stream()
                .filter(placed -> !placed.placement().name().equals(except))
                .filter(placed -> placed.replicaOn(instance.id()).isPresent())
                .mapToLong(placed -> bytesOf(placed.placement().workload()))
                .sum();
    }

    /** The bytes of all weights of a workload. */
    static long bytesOf(Workload workload) {
        return workload.artifacts().stream().mapToLong(Artifact::bytes).sum();
    }

    // -- choosing

    /**
     * Chooses the instances of a placement: keeps what already serves, then fills the halls evenly.
     *
     * @param placement the placement
     * @param current the instances that serve it now
     * @param claimed the instances that the same plan has chosen for other placements, which come last
     * @return as many as the placement asks for, or fewer if no more fit
     */
    List<Instance> choose(Placement placement, Set<String> current, Set<String> claimed) {
        Map<String, List<Instance>> byHall = new TreeMap<>();
        of(placement)
                .sorted(Comparator.comparing((Instance instance) -> !current.contains(instance.id()))
                        .thenComparing(instance -> claimed.contains(instance.id()))
                        .thenComparing(instance -> assignedBytes(instance, placement.name()))
                        .thenComparing(instance -> Digest.rank(placement.name(), instance.id())))
                .forEach(instance -> byHall.computeIfAbsent(instance.hall(), hall -> new ArrayList<>())
                        .add(instance));
        Map<String, Integer> taken = new HashMap<>();
        List<Instance> chosen = new ArrayList<>();
        while (chosen.size() < placement.replicas()) {
            Optional<String> hall = byHall.keySet().stream()
                    .filter(name ->
                            taken.getOrDefault(name, 0) < byHall.get(name).size())
                    .min(Comparator.comparing((String name) -> taken.getOrDefault(name, 0))
                            .thenComparing(Comparator.naturalOrder()));
            if (hall.isEmpty()) {
                break;
            }
            int next = taken.merge(hall.get(), 1, Integer::sum) - 1;
            chosen.add(byHall.get(hall.get()).get(next));
        }
        return chosen;
    }

    /** Says how many instances of each hall fit a placement that asks for more. */
    String shortage(Placement placement, int found) {
        Map<String, Long> perHall =
                of(placement).collect(Collectors.groupingBy(Instance::hall, TreeMap::new, Collectors.counting()));
        return "placement " + placement.name() + " asks for " + placement.replicas() + " replicas, but only " + found
                + " instances fit: " + perHall;
    }

    /**
     * The replacement for a lost replica: the first candidate in the same hall, else the same region, else anywhere
     * allowed.
     *
     * @param placed the placement in force
     * @param lost the replica that is gone
     * @return the instance to use, if there is one
     */
    public Optional<Instance> replacement(FoldedState.Placed placed, Replica lost) {
        return of(placed.placement())
                .filter(instance -> placed.replicaOn(instance.id()).isEmpty())
                .min(Comparator.comparing(
                                (Instance instance) -> !instance.hall().equals(lost.hall()))
                        .thenComparing(instance -> !instance.region().equals(lost.region()))
                        .thenComparing(instance ->
                                assignedBytes(instance, placed.placement().name()))
                        .thenComparing(
                                instance -> Digest.rank(placed.placement().name(), instance.id())));
    }
}
