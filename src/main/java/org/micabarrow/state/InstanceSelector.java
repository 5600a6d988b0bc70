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
 * Selects instances for placements, considering the capacity of each instance and the weights that the configuration
 * already assigns to it. The same state and list of instances give the same selection on every node.
 */
public final class InstanceSelector {

    private final FoldedState state;
    private final List<Instance> instances;

    /**
     * Creates a selector.
     *
     * @param state the active configuration
     * @param instances the listed instances; entries among them are ignored
     */
    public InstanceSelector(FoldedState state, List<Instance> instances) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.instances = instances.stream()
                .filter(instance -> !instance.kind().equals(Instance.ENTRY))
                .sorted(Comparator.comparing(Instance::id))
                .toList();
    }

    /** Returns the distinct values of an attribute of the instances, such as their regions. */
    Set<String> distinctValues(Function<Instance, String> attribute) {
        return instances.stream().map(attribute).collect(Collectors.toCollection(TreeSet::new));
    }

    /**
     * Returns the instances on which a placement could run, in no particular order.
     *
     * @param placement the placement
     * @return the instances of the right kind, in an allowed region and hall, with enough free capacity, that are not
     *     draining
     */
    public Stream<Instance> eligibleFor(Placement placement) {
        long needed = bytesOf(placement.workload());
        return instances.stream()
                .filter(instance -> !instance.leaving())
                .filter(instance -> instance.canRun(placement.workload()))
                .filter(instance -> placement.allows(instance.region(), instance.hall()))
                .filter(instance ->
                        needed == 0 || assignedBytes(instance, placement.name()) + needed <= instance.capacityBytes());
    }

    private long assignedBytes(Instance instance, String excludedPlacement) {
        return state.placements().values().stream()
                .filter(placed -> !placed.placement().name().equals(excludedPlacement))
                .filter(placed -> placed.replicaOn(instance.id()).isPresent())
                .mapToLong(placed -> bytesOf(placed.placement().workload()))
                .sum();
    }

    /** Returns the total size of the weights of a workload in bytes. */
    static long bytesOf(Workload workload) {
        return workload.artifacts().stream().mapToLong(Artifact::bytes).sum();
    }

    /**
     * Selects the instances of a placement. Instances that already serve it come first; the halls are filled evenly.
     *
     * @param placement the placement
     * @param current the ids of the instances that serve it now
     * @param usedInPlan the ids of the instances that the same plan uses for other placements; they are selected last
     * @return as many instances as the placement requires, or fewer if too few are eligible
     */
    List<Instance> select(Placement placement, Set<String> current, Set<String> usedInPlan) {
        Map<String, List<Instance>> byHall = new TreeMap<>();
        eligibleFor(placement)
                .sorted(Comparator.comparing((Instance instance) -> !current.contains(instance.id()))
                        .thenComparing(instance -> usedInPlan.contains(instance.id()))
                        .thenComparing(instance -> assignedBytes(instance, placement.name()))
                        .thenComparing(instance -> Digest.rank(placement.name(), instance.id())))
                .forEach(instance -> byHall.computeIfAbsent(instance.hall(), hall -> new ArrayList<>())
                        .add(instance));
        Map<String, Integer> selectedPerHall = new HashMap<>();
        List<Instance> selected = new ArrayList<>();
        while (selected.size() < placement.replicas()) {
            Optional<String> hall = byHall.keySet().stream()
                    .filter(name -> selectedPerHall.getOrDefault(name, 0)
                            < byHall.get(name).size())
                    .min(Comparator.comparing((String name) -> selectedPerHall.getOrDefault(name, 0))
                            .thenComparing(Comparator.naturalOrder()));
            if (hall.isEmpty()) {
                break;
            }
            int index = selectedPerHall.merge(hall.get(), 1, Integer::sum) - 1;
            selected.add(byHall.get(hall.get()).get(index));
        }
        return selected;
    }

    /** Describes how many instances of each hall are eligible for a placement that requires more. */
    String describeShortage(Placement placement, int selected) {
        Map<String, Long> perHall = eligibleFor(placement)
                .collect(Collectors.groupingBy(Instance::hall, TreeMap::new, Collectors.counting()));
        return "placement " + placement.name() + " asks for " + placement.replicas() + " replicas, but only " + selected
                + " instances fit: " + perHall;
    }

    /**
     * Selects the replacement for a lost replica: an eligible instance in the same hall if possible, else in the same
     * region, else anywhere that the placement allows.
     *
     * @param placed the active placement
     * @param lost the replica whose instance is gone
     * @return the instance to use, empty if none is eligible
     */
    public Optional<Instance> selectReplacement(FoldedState.ActivePlacement placed, Replica lost) {
        return eligibleFor(placed.placement())
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
