package org.micabarrow.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.micabarrow.state.Fault.Reason;

/**
 * Works out plans. The same intent, folded state and list of instances give the same plan on every node.
 *
 * <pre>{@code
 * Result<Plan> plan = new Planner(links, state, instances, artifacts).plan(intent);
 * }</pre>
 */
public final class Planner {

    private static final int MOST_FEEDS = 3;

    private final Links links;
    private final FoldedState state;
    private final List<Instance> instances;
    private final Map<String, Artifact> artifacts;
    private final Set<String> claimed = new HashSet<>();

    /**
     * Makes a planner.
     *
     * @param links what the links carry
     * @param state the configuration in force
     * @param instances the instances listed
     * @param artifacts the sizes of the weights, by digest
     */
    public Planner(Links links, FoldedState state, List<Instance> instances, Map<String, Artifact> artifacts) {
        this.links = Objects.requireNonNull(links, "links is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.instances = instances.stream()
                .filter(instance -> !instance.kind().equals(Instance.ENTRY))
                .sorted(Comparator.comparing(Instance::id))
                .toList();
        this.artifacts = Map.copyOf(artifacts);
    }

    /**
     * Works out the plan for an intent.
     *
     * @param intent the intent
     * @return the plan, or why there is none
     */
    public Result<Plan> plan(Intent intent) {
        Objects.requireNonNull(intent, "intent is null");
        List<Plan.Step> steps = new ArrayList<>();
        for (Intent.Declared declared : intent.placements()) {
            Result<Plan.Step> step = step(intent, declared);
            if (step instanceof Result.Failure<Plan.Step> failure) {
                return Result.failure(failure.fault());
            }
            step.toOptional().ifPresent(steps::add);
        }
        return Result.success(new Plan(state.offset(), intent.organisations(), steps));
    }

    private Result<Plan.Step> step(Intent intent, Intent.Declared declared) {
        Optional<Fault> unknown = unknownName(intent, declared);
        if (unknown.isPresent()) {
            return Result.failure(unknown.get());
        }
        return workload(declared).flatMap(workload -> {
            Placement placement = new Placement(
                    declared.name(),
                    workload,
                    declared.regions(),
                    declared.halls(),
                    declared.organisations(),
                    declared.replicas(),
                    declared.prefer(),
                    declared.whenCutOff(),
                    declared.envelope());
            return place(placement);
        });
    }

    private Optional<Fault> unknownName(Intent intent, Intent.Declared declared) {
        Set<String> regions = names(instances, Instance::region);
        Set<String> halls = names(instances, Instance::hall);
        Set<String> organisations = new TreeSet<>(state.organisations().keySet());
        intent.organisations().forEach(organisation -> organisations.add(organisation.name()));
        return firstUnknown(declared, "region", declared.regions(), regions)
                .or(() -> firstUnknown(declared, "data hall", declared.halls(), halls))
                .or(() -> firstUnknown(declared, "organisation", declared.organisations(), organisations));
    }

    private static Set<String> names(List<Instance> instances, Function<Instance, String> name) {
        return instances.stream().map(name).collect(Collectors.toCollection(TreeSet::new));
    }

    private static Optional<Fault> firstUnknown(
            Intent.Declared declared, String what, List<String> named, Set<String> known) {
        return named.stream()
                .filter(name -> !known.contains(name))
                .findFirst()
                .map(name -> refuse(
                        declared.name(),
                        Reason.INVALID,
                        "placement " + declared.name() + " names an unknown " + what + " \"" + name + "\"; known: "
                                + String.join(", ", known)));
    }

    private Result<Workload> workload(Intent.Declared declared) {
        return switch (declared.target()) {
            case Intent.Target.Service service ->
                Result.success(new Workload.Service(service.name(), service.repeatable()));
            case Intent.Target.Model model -> {
                for (String digest : Intent.digests(model)) {
                    if (!artifacts.containsKey(digest)) {
                        yield Result.failure(refuse(
                                declared.name(),
                                Reason.NOT_FOUND,
                                "placement " + declared.name() + " names weights " + digest
                                        + " that neither store nor origin has"));
                    }
                }
                yield Result.success(new Workload.Model(
                        model.name(),
                        artifacts.get(model.version()),
                        model.adapters().stream().map(artifacts::get).toList()));
            }
        };
    }

    private Result<Plan.Step> place(Placement placement) {
        List<Replica> current =
                state.placed(placement.name()).map(FoldedState.Placed::replicas).orElse(List.of());
        if (placement.replicas() == 0) {
            return Result.success(
                    new Plan.Step(placement, List.of(), List.of(), idsOf(current), new Plan.Estimate(0, 0, 0, 0)));
        }
        List<Instance> chosen = choose(placement, Set.copyOf(idsOf(current)));
        if (chosen.size() < placement.replicas()) {
            return Result.failure(refuse(placement.name(), Reason.UNSATISFIABLE, shortage(placement, chosen.size())));
        }
        chosen.forEach(instance -> claimed.add(instance.id()));
        boolean sameWeights = state.placed(placement.name())
                .map(placed -> placed.placement().workload().equals(placement.workload()))
                .orElse(false);
        Set<String> holding = sameWeights ? Set.copyOf(idsOf(current)) : Set.of();
        List<String> chosenIds = chosen.stream().map(Instance::id).toList();
        List<String> moves = placement.workload().artifacts().isEmpty()
                ? List.of()
                : chosenIds.stream().filter(id -> !holding.contains(id)).toList();
        List<String> removed =
                idsOf(current).stream().filter(id -> !chosenIds.contains(id)).toList();
        List<List<Replica>> chains = chains(placement, chosen, Set.copyOf(moves));
        return Result.success(
                new Plan.Step(placement, chains, moves, removed, estimate(placement, chains, Set.copyOf(moves))));
    }

    private static List<String> idsOf(List<Replica> replicas) {
        return replicas.stream().map(Replica::instance).toList();
    }

    /** Keeps what already serves, then fills the halls evenly. */
    private List<Instance> choose(Placement placement, Set<String> current) {
        Map<String, List<Instance>> byHall = new TreeMap<>();
        candidates(placement)
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

    /**
     * The instances on which a placement could run, in no particular order.
     *
     * @param placement the placement
     * @return those of the right kind, in an allowed place, with room, and not leaving
     */
    public Stream<Instance> candidates(Placement placement) {
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

    private static long bytesOf(Workload workload) {
        return workload.artifacts().stream().mapToLong(Artifact::bytes).sum();
    }

    private String shortage(Placement placement, int found) {
        Map<String, Long> perHall = candidates(placement)
                .collect(Collectors.groupingBy(Instance::hall, TreeMap::new, Collectors.counting()));
        return "placement " + placement.name() + " asks for " + placement.replicas() + " replicas, but only " + found
                + " instances fit: " + perHall;
    }

    /** Instances that must receive weights form the chains; those that hold them already come last, in one list. */
    private List<List<Replica>> chains(Placement placement, List<Instance> chosen, Set<String> moves) {
        List<Replica> moving = ordered(chosen, instance -> moves.contains(instance.id()));
        List<Replica> holding = ordered(chosen, instance -> !moves.contains(instance.id()));
        int feeds = Math.min(feedsFor(placement), moving.size());
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

    private int feedsFor(Placement placement) {
        return switch (placement.prefer()) {
            case ORIGIN_BYTES -> 1;
            case TIME -> Math.min(MOST_FEEDS, links.feeds());
        };
    }

    private Plan.Estimate estimate(Placement placement, List<List<Replica>> chains, Set<String> moves) {
        long bytes = bytesOf(placement.workload());
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
                bytes, heads * bytes, crossings(chains, moves), Math.max(copyMillis, originMillis) + passMillis);
    }

    private static int crossings(List<List<Replica>> chains, Set<String> moves) {
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

    private static Fault refuse(String placement, Reason reason, String message) {
        return Fault.of(Fault.Step.PLAN, "placement " + placement, reason, message);
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
        return candidates(placed.placement())
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
