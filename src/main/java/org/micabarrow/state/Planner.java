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
 * Works out plans. The same intent, folded state and list of instances give the same plan on every node.
 *
 * <pre>{@code
 * Result<Plan> plan = new Planner(links, state, instances, artifacts).plan(intent);
 * }</pre>
 */
public final class Planner {

    private final Links links;
    private final FoldedState state;
    private final Candidates candidates;
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
        this.candidates = new Candidates(state, instances);
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
        Set<String> regions = candidates.names(Instance::region);
        Set<String> halls = candidates.names(Instance::hall);
        Set<String> organisations = new TreeSet<>(state.organisations().keySet());
        intent.organisations().forEach(organisation -> organisations.add(organisation.name()));
        return firstUnknown(declared, "region", declared.regions(), regions)
                .or(() -> firstUnknown(declared, "data hall", declared.halls(), halls))
                .or(() -> firstUnknown(declared, "organisation", declared.organisations(), organisations));
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
        List<Instance> chosen = candidates.choose(placement, Set.copyOf(idsOf(current)), claimed);
        if (chosen.size() < placement.replicas()) {
            return Result.failure(
                    refuse(placement.name(), Reason.UNSATISFIABLE, candidates.shortage(placement, chosen.size())));
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
        Chains chains = new Chains(links, placement, Set.copyOf(moves));
        List<List<Replica>> planned = chains.of(chosen);
        return Result.success(new Plan.Step(placement, planned, moves, removed, chains.estimate(planned)));
    }

    private static List<String> idsOf(List<Replica> replicas) {
        return replicas.stream().map(Replica::instance).toList();
    }

    private static Fault refuse(String placement, Reason reason, String message) {
        return Fault.of(Fault.Step.PLAN, "placement " + placement, reason, message);
    }
}
