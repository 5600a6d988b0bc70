package org.micabarrow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;
import org.micabarrow.state.Artifact;
import org.micabarrow.state.Digest;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Intent;
import org.micabarrow.state.Links;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Placement;
import org.micabarrow.state.Plan;
import org.micabarrow.state.Planner;
import org.micabarrow.state.Record;
import org.micabarrow.state.Reducer;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Workload;

/** Values that many tests need. */
public final class Samples {

    public static final Links LINKS = new Links(400, 200);
    public static final Artifact WEIGHTS = new Artifact(Digest.of("weights"), 1000, 10);
    public static final Artifact NEW_WEIGHTS = new Artifact(Digest.of("new weights"), 1000, 10);
    public static final Map<String, Artifact> ARTIFACTS =
            Map.of(WEIGHTS.digest(), WEIGHTS, NEW_WEIGHTS.digest(), NEW_WEIGHTS);
    public static final Organisation RIDERS = new Organisation("riders", Digest.of("riders-token"), 1);

    private Samples() {}

    /** Three halls in three regions with some engines each, and one billing service. */
    public static List<Instance> instances(int enginesPerHall) {
        List<Instance> instances = new ArrayList<>();
        for (String region : List.of("norte", "centro", "sur")) {
            for (int i = 1; i <= enginesPerHall; i++) {
                String id = region + "-a-" + i;
                instances.add(new Instance(id, region, region + "-a", id + ":1", Instance.ENGINE, 5000, false));
            }
        }
        instances.add(new Instance("billing-1", "norte", "norte-a", "billing-1:1", "service:billing", 0, false));
        return instances;
    }

    public static Intent.DeclaredPlacement declared(String name, Artifact weights, int replicas, List<String> halls) {
        return new Intent.DeclaredPlacement(
                name,
                new Intent.Target.Model("assistant", weights.digest(), List.of()),
                List.of(),
                halls,
                List.of("riders"),
                replicas,
                Placement.RolloutPreference.TIME,
                Placement.CutOffPolicy.SERVE,
                new Placement.Envelope(1, 500));
    }

    public static Plan plan(FoldedState state, Intent.DeclaredPlacement... declared) {
        Intent intent = new Intent(state.organisations().isEmpty() ? List.of(RIDERS) : List.of(), List.of(declared));
        return new Planner(LINKS, state, instances(3), ARTIFACTS)
                .plan(intent)
                .toOptional()
                .orElseThrow();
    }

    /** The state after a plan has been proposed and confirmed. */
    public static FoldedState confirmed(FoldedState state, Plan plan) {
        FoldedState proposed = Reducer.fold(
                        state, state.offset() + 1, new Record.PlanProposed("propose-" + state.offset(), plan))
                .state();
        return Reducer.fold(
                        proposed,
                        proposed.offset() + 1,
                        new Record.PlanConfirmed("confirm-" + state.offset(), state.offset(), plan.id(), "ana"))
                .state();
    }

    public static FoldedState assistantOn(int replicas) {
        return confirmed(
                FoldedState.empty(), plan(FoldedState.empty(), declared("assistant", WEIGHTS, replicas, List.of())));
    }

    /** A placement of a service that may not be repeated, on the instances named. */
    public static FoldedState billingOn(String... instances) {
        List<Replica> replicas = Arrays.stream(instances)
                .map(id -> new Replica(id, "norte", "norte-a", id))
                .toList();
        Placement placement = new Placement(
                "billing",
                new Workload.Service("billing", false),
                List.of(),
                List.of("norte-a"),
                List.of("riders"),
                replicas.size(),
                Placement.RolloutPreference.TIME,
                Placement.CutOffPolicy.SERVE,
                new Placement.Envelope(0, 0));
        Plan plan = new Plan(
                -1,
                List.of(RIDERS),
                List.of(new Plan.Step(
                        placement, List.of(replicas), List.of(), List.of(), new Plan.Estimate(0, 0, 0, 0))));
        return confirmed(FoldedState.empty(), plan);
    }

    public static Optional<FoldedState.ActivePlacement> assistant(FoldedState state) {
        return state.activePlacement("assistant");
    }

    /** A route of streams that may be resumed, on the users' platform, which holds a request for so long. */
    public static Route resumableStreams(long timeoutMillis) {
        return new Route(
                "r",
                "h",
                "/",
                List.of(new Route.WeightedService("s", 1)),
                RequestKind.RESUMABLE_STREAM,
                timeoutMillis,
                400,
                1,
                2,
                false);
    }
}
