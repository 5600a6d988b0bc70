package org.micabarrow.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.NEW_WEIGHTS;
import static org.micabarrow.Samples.WEIGHTS;
import static org.micabarrow.Samples.assistantOn;
import static org.micabarrow.Samples.confirmed;
import static org.micabarrow.Samples.declared;
import static org.micabarrow.Samples.plan;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReducerTest {

    private static Reducer.Outcome foldNext(FoldedState state, Record record) {
        return Reducer.fold(state, state.offset() + 1, record);
    }

    private static Record.PlanConfirmed confirm(String id, Plan plan) {
        return new Record.PlanConfirmed(id, plan.basis(), plan.id(), "ana");
    }

    // -- confirmation of plans

    @Test
    void shouldNotApplyPlanWhenItIsOnlyProposed() {
        Plan plan = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 3, List.of()));
        FoldedState proposed = foldNext(FoldedState.empty(), new Record.PlanProposed("p", plan))
                .state();
        assertTrue(proposed.placements().isEmpty());
        assertTrue(proposed.organisations().isEmpty());
    }

    @Test
    void shouldAcceptOnlyFirstConfirmationWhenPlansConflict() {
        FoldedState before = assistantOn(3);
        Plan winning = plan(before, declared("assistant", WEIGHTS, 4, List.of()));
        Plan losing = plan(before, declared("assistant", NEW_WEIGHTS, 5, List.of()));
        FoldedState proposed =
                foldNext(before, new Record.PlanProposed("p1", winning)).state();
        proposed = foldNext(proposed, new Record.PlanProposed("p2", losing)).state();
        Reducer.Outcome first = foldNext(proposed, confirm("c1", winning));
        Reducer.Outcome second = foldNext(first.state(), confirm("c2", losing));
        assertInstanceOf(Verdict.Accepted.class, first.verdict());
        Verdict.Superseded superseded = assertInstanceOf(Verdict.Superseded.class, second.verdict());
        assertEquals(first.state().offset(), superseded.at());
        assertEquals(
                4,
                second.state()
                        .activePlacement("assistant")
                        .orElseThrow()
                        .replicas()
                        .size());
    }

    @Test
    void shouldRefuseConfirmationWhenPlanIsAlreadyConfirmed() {
        Plan plan = plan(FoldedState.empty(), declared("assistant", WEIGHTS, 3, List.of()));
        FoldedState proposed = foldNext(FoldedState.empty(), new Record.PlanProposed("p", plan))
                .state();
        FoldedState confirmed = foldNext(proposed, confirm("c1", plan)).state();
        assertInstanceOf(
                Verdict.Refused.class, foldNext(confirmed, confirm("c2", plan)).verdict());
    }

    @Test
    void shouldRejectRepeatedOldPlanWhenItsRecordIdIsNoLongerKept() {
        FoldedState before = assistantOn(3);
        Plan old = plan(before, declared("assistant", WEIGHTS, 4, List.of()));
        FoldedState state = foldNext(before, new Record.PlanProposed("p1", old)).state();
        state = foldNext(state, confirm("c1", old)).state();
        Plan newer = plan(state, declared("assistant", WEIGHTS, 6, List.of()));
        state = foldNext(state, new Record.PlanProposed("p2", newer)).state();
        state = foldNext(state, confirm("c2", newer)).state();
        for (int i = 0; i < Reducer.MAX_VERDICTS + 1; i++) {
            state = foldNext(state, new Record.OriginDrawn("noise-" + i, state.offset(), "nothing", "x", 1))
                    .state();
        }
        state = foldNext(state, new Record.PlanProposed("p1", old)).state();
        Reducer.Outcome delayed = foldNext(state, confirm("c1", old));
        assertInstanceOf(Verdict.Superseded.class, delayed.verdict());
        assertEquals(
                6,
                delayed.state()
                        .activePlacement("assistant")
                        .orElseThrow()
                        .replicas()
                        .size());
    }

    @Test
    void shouldApplyRecordOnceWhenItIsWrittenTwice() {
        FoldedState before = assistantOn(3);
        String instance = before.activePlacement("assistant")
                .orElseThrow()
                .replicas()
                .getFirst()
                .instance();
        Record draw = new Record.OriginDrawn("d", before.offset(), "assistant", instance, 300);
        FoldedState once = foldNext(before, draw).state();
        Reducer.Outcome twice = foldNext(once, draw);
        assertEquals(new Verdict.Duplicate(once.offset()), twice.verdict());
        assertEquals(
                300, twice.state().activePlacement("assistant").orElseThrow().drawn());
    }

    @Test
    void shouldThrowWhenOffsetIsNotTheNext() {
        FoldedState state = assistantOn(1);
        Record record = new Record.OriginDrawn("d", 0, "assistant", "x", 1);
        assertThrows(IllegalArgumentException.class, () -> Reducer.fold(state, state.offset() + 2, record));
    }

    // -- limits of the envelope

    @ParameterizedTest
    @CsvSource({
        "300, 200, true",
        "300, 201, false",
        "500, 1, false",
        "300, 0, false",
        "300, -5, false",
    })
    void shouldGrantOriginBytesOnlyWhenEnvelopeAllows(long first, long second, boolean granted) {
        FoldedState state = assistantOn(3);
        String instance = state.activePlacement("assistant")
                .orElseThrow()
                .replicas()
                .getFirst()
                .instance();
        state = foldNext(state, new Record.OriginDrawn("d1", state.offset(), "assistant", instance, first))
                .state();
        Verdict verdict = foldNext(state, new Record.OriginDrawn("d2", state.offset(), "assistant", instance, second))
                .verdict();
        assertEquals(granted, verdict instanceof Verdict.Accepted, verdict.toString());
    }

    @Test
    void shouldRefuseReplacementWhenEnvelopeIsExhausted() {
        FoldedState state = assistantOn(3);
        Replica lost =
                state.activePlacement("assistant").orElseThrow().replicas().getFirst();
        Replica spare = new Replica("norte-a-3", "norte", "norte-a", "norte-a-3:1");
        Reducer.Outcome first =
                foldNext(state, new Record.ReplicaReplaced("r1", state.offset(), "assistant", lost.instance(), spare));
        assertInstanceOf(Verdict.Accepted.class, first.verdict());
        Replica another = new Replica("sur-a-3", "sur", "sur-a", "sur-a-3:1");
        Reducer.Outcome second = foldNext(
                first.state(),
                new Record.ReplicaReplaced("r2", first.state().offset(), "assistant", "norte-a-3", another));
        assertInstanceOf(Verdict.Refused.class, second.verdict());
    }

    @Test
    void shouldRefuseReplacementWhenHallIsNotAllowed() {
        FoldedState empty = FoldedState.empty();
        FoldedState state = confirmed(empty, plan(empty, declared("assistant", WEIGHTS, 2, List.of("norte-a"))));
        String lost = state.activePlacement("assistant")
                .orElseThrow()
                .replicas()
                .getFirst()
                .instance();
        Replica outside = new Replica("sur-a-1", "sur", "sur-a", "sur-a-1:1");
        Verdict verdict = foldNext(state, new Record.ReplicaReplaced("r", state.offset(), "assistant", lost, outside))
                .verdict();
        assertInstanceOf(Verdict.Refused.class, verdict);
    }

    // -- serialisation

    @Test
    void shouldKeepDigestWhenStateIsSerialisedAndDeserialised() throws IOException {
        FoldedState state = assistantOn(5);
        FoldedState read = CanonicalJson.read(CanonicalJson.write(state), FoldedState.class);
        assertEquals(state, read);
        assertEquals(state.digest(), read.digest());
    }
}
