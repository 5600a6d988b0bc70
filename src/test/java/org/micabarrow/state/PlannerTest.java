package org.micabarrow.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.ARTIFACTS;
import static org.micabarrow.Samples.LINKS;
import static org.micabarrow.Samples.NEW_WEIGHTS;
import static org.micabarrow.Samples.RIDERS;
import static org.micabarrow.Samples.WEIGHTS;
import static org.micabarrow.Samples.assistantOn;
import static org.micabarrow.Samples.declared;
import static org.micabarrow.Samples.instances;
import static org.micabarrow.Samples.plan;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class PlannerTest {

    private static Fault planFault(Intent.DeclaredPlacement declared) {
        Intent intent = new Intent(List.of(RIDERS), List.of(declared));
        return new Planner(LINKS, FoldedState.empty(), instances(3), ARTIFACTS)
                .plan(intent)
                .cause()
                .orElseThrow();
    }

    // -- invalid intents

    @Test
    void shouldNameKnownHallsWhenHallIsUnknown() {
        Fault fault = planFault(declared("assistant", WEIGHTS, 1, List.of("este-a")));
        assertEquals(Fault.Reason.INVALID, fault.reason());
        assertTrue(fault.message().contains("unknown data hall \"este-a\"; known: centro-a, norte-a, sur-a"));
    }

    @Test
    void shouldReportEligibleInstancesWhenPlacementCannotBeSatisfied() {
        Fault fault = planFault(declared("assistant", WEIGHTS, 4, List.of("norte-a")));
        assertEquals(Fault.Reason.UNSATISFIABLE, fault.reason());
        assertTrue(fault.message().contains("only 3 instances fit"), fault.message());
    }

    @Test
    void shouldRejectPlanWhenWeightsAreUnknown() {
        Artifact missing = new Artifact(Digest.of("missing"), 1, 1);
        assertEquals(
                Fault.Reason.NOT_FOUND,
                planFault(declared("assistant", missing, 1, List.of())).reason());
    }

    // -- selection of instances

    @Test
    void shouldComputeSamePlanWhenInputsAreEqual() {
        Plan first = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 5, List.of()));
        Plan second = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 5, List.of()));
        assertEquals(first.id(), second.id());
    }

    @Test
    void shouldSpreadReplicasEvenlyOverHalls() {
        Plan.Step step = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 6, List.of()))
                .placements()
                .getFirst();
        Map<String, Long> perHall =
                step.replicas().stream().collect(Collectors.groupingBy(Replica::hall, Collectors.counting()));
        assertEquals(Map.of("norte-a", 2L, "centro-a", 2L, "sur-a", 2L), perHall);
    }

    @Test
    void shouldKeepCurrentInstancesWhenReplicasAreAdded() {
        FoldedState state = assistantOn(3);
        Set<String> before = state.activePlacement("assistant").orElseThrow().replicas().stream()
                .map(Replica::instance)
                .collect(Collectors.toSet());
        Plan.Step step = plan(state, declared("assistant", WEIGHTS, 5, List.of()))
                .placements()
                .getFirst();
        Set<String> after = step.replicas().stream().map(Replica::instance).collect(Collectors.toSet());
        assertTrue(after.containsAll(before));
        assertEquals(2, step.moves().size());
        assertTrue(step.removed().isEmpty());
    }

    @Test
    void shouldSendWeightsToAllReplicasWhenVersionChanges() {
        Plan.Step step = plan(assistantOn(3), declared("assistant", NEW_WEIGHTS, 3, List.of()))
                .placements()
                .getFirst();
        assertEquals(3, step.moves().size());
    }

    // -- chains

    @Test
    void shouldLimitChainsToCapacityOfOriginLink() {
        Plan.Step step = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 9, List.of()))
                .placements()
                .getFirst();
        assertEquals(2, step.chains().size());
        assertEquals(2000, step.estimate().originBytes());
    }

    @Test
    void shouldRemoveAllInstancesWhenReplicasAreZero() {
        Plan.Step step = plan(assistantOn(3), declared("assistant", WEIGHTS, 0, List.of()))
                .placements()
                .getFirst();
        assertEquals(3, step.removed().size());
        assertTrue(step.replicas().isEmpty());
    }
}
