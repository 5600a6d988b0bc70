package org.micabarrow.state;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.micabarrow.state.Fault.Reason;

/**
 * Computes plans. The same intent, folded state and list of instances give the same plan on every node.
 *
 * <pre>{@code
 * Result<Plan> plan = new Planner(links, state, instances, artifacts).plan(intent);
 * }</pre>
 */
public final class Planner {

    private final Links links;
    private final FoldedState state;
    private final InstanceSelector candidates;
    private final Map<String, Artifact> artifacts;
    private final Set<String> usedInPlan = new HashSet<>();

    /**
     * Creates a planner.
     *
     * @param links the rates of the links
     * @param state the active configuration
     * @param instances the listed instances
     * @param artifacts the known weights by digest
     */
    public Planner(Links links, FoldedState state, List<Instance> instances, Map<String, Artifact> artifacts) {
        this.links = Objects.requireNonNull(links, "links is null");
        this.state = Objects.requireNonNull(state, "state is null");
        this.candidates = new InstanceSelector(state, instances);
        this.artifacts = Map.copyOf(artifacts);
    }

    /**
     * Computes the plan for an intent.
     *
     * @param intent the intent
     * @return the plan, or a fault if the intent is invalid or cannot be satisfied
     */
    public Result<Plan> plan(Intent intent) {
        Objects.requireNonNull(intent, "intent is null");
        List<Plan.Step> steps = new ArrayList<>();
        for (Intent.DeclaredPlacement declared : intent.placements()) {
            Result<Plan.Step> step = planStep(intent, declared);
            if (step instanceof Result.Failure<Plan.Step> failure) {
                return Result.failure(failure.fault());
            }
            step.toOptional().ifPresent(steps::add);
        }
        return Result.success(new Plan(state.offset(), intent.organisations(), steps));
    }

    private Result<Plan.Step> planStep(Intent intent, Intent.DeclaredPlacement declared) {
        Optional<Fault> unknown = findUnknownName(intent, declared);
        if (unknown.isPresent()) {
            return Result.failure(unknown.get());
        }
        return resolveWorkload(declared).flatMap(workload -> {
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
            return planPlacement(placement);
        });
    }

    private Optional<Fault> findUnknownName(Intent intent, Intent.DeclaredPlacement declared) {
        Set<String> regions = candidates.distinctValues(Instance::region);
        Set<String> halls = candidates.distinctValues(Instance::hall);
        Set<String> organisations = new TreeSet<>(state.organisations().keySet());
        intent.organisations().forEach(organisation -> organisations.add(organisation.name()));
        return findFirstUnknown(declared, "region", declared.regions(), regions)
                .or(() -> findFirstUnknown(declared, "data hall", declared.halls(), halls))
                .or(() -> findFirstUnknown(declared, "organisation", declared.organisations(), organisations));
    }

    private static Optional<Fault> findFirstUnknown(
            Intent.DeclaredPlacement declared, String kind, List<String> named, Set<String> known) {
        return named.stream()
                .filter(name -> !known.contains(name))
                .findFirst()
                .map(name -> planFault(
                        declared.name(),
                        Reason.INVALID,
                        "placement " + declared.name() + " names an unknown " + kind + " \"" + name + "\"; known: "
                                + String.join(", ", known)));
    }

    private Result<Workload> resolveWorkload(Intent.DeclaredPlacement declared) {
        return switch (declared.target()) {
            case Intent.Target.Service service ->
                Result.success(new Workload.Service(service.name(), service.repeatable()));
            case Intent.Target.Model model -> {
                for (String digest : Intent.weightDigests(model)) {
                    if (!artifacts.containsKey(digest)) {
                        yield Result.failure(planFault(
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

    private Result<Plan.Step> planPlacement(Placement placement) {
        List<Replica> current = state.activePlacement(placement.name())
                .map(FoldedState.ActivePlacement::replicas)
                .orElse(List.of());
        if (placement.replicas() == 0) {
            return Result.success(
                    new Plan.Step(placement, List.of(), List.of(), idsOf(current), new Plan.Estimate(0, 0, 0, 0)));
        }
        List<Instance> selected = candidates.select(placement, Set.copyOf(idsOf(current)), usedInPlan);
        if (selected.size() < placement.replicas()) {
            return Result.failure(planFault(
                    placement.name(), Reason.UNSATISFIABLE, candidates.describeShortage(placement, selected.size())));
        }
        selected.forEach(instance -> usedInPlan.add(instance.id()));
        boolean sameWeights = state.activePlacement(placement.name())
                .map(placed -> placed.placement().workload().equals(placement.workload()))
                .orElse(false);
        Set<String> holders = sameWeights ? Set.copyOf(idsOf(current)) : Set.of();
        List<String> selectedIds = selected.stream().map(Instance::id).toList();
        List<String> moves = placement.workload().artifacts().isEmpty()
                ? List.of()
                : selectedIds.stream().filter(id -> !holders.contains(id)).toList();
        List<String> removed =
                idsOf(current).stream().filter(id -> !selectedIds.contains(id)).toList();
        ChainPlanner chains = new ChainPlanner(links, placement, Set.copyOf(moves));
        List<List<Replica>> planned = chains.chainsFor(selected);
        return Result.success(new Plan.Step(placement, planned, moves, removed, chains.estimate(planned)));
    }

    private static List<String> idsOf(List<Replica> replicas) {
        return replicas.stream().map(Replica::instance).toList();
    }

    private static Fault planFault(String placement, Reason reason, String message) {
        return Fault.of(Fault.Step.PLAN, "placement " + placement, reason, message);
    }
}
