package org.micabarrow.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.ARTIFACTS;
import static org.micabarrow.Samples.LINKS;
import static org.micabarrow.Samples.RIDERS;
import static org.micabarrow.Samples.WEIGHTS;
import static org.micabarrow.Samples.declared;
import static org.micabarrow.Samples.instances;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.micabarrow.coordination.configuration.ConfigurationFold;
import org.micabarrow.coordination.log.PlatformLog;

/**
 * Checks the reducer with random sequences of actions. Operators propose and confirm plans in any order, on the basis of
 * states of any age, and some records are written twice.
 */
class ReducerProperties {

    private static final int OPERATORS = 3;

    /**
     * An action of an operator: 0 reads the state, 1 and 2 propose a plan for one of two placements, 3 confirms the plan,
     * and 4 repeats an earlier record.
     */
    record Action(int operator, int kind, int placement, int replicas) {}

    @Provide
    Arbitrary<List<Action>> actions() {
        return Combinators.combine(
                        Arbitraries.integers().between(0, OPERATORS - 1),
                        Arbitraries.integers().between(0, 4),
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.integers().between(1, 7))
                .as(Action::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    /** Performs the actions and returns the records that they write. */
    private static List<Record> performActions(List<Action> actions, Model model) {
        List<Record> log = new ArrayList<>();
        FoldedState state = FoldedState.empty();
        FoldedState[] views = new FoldedState[OPERATORS];
        Plan[] plans = new Plan[OPERATORS];
        Arrays.fill(views, state);
        for (Action action : actions) {
            int operator = action.operator();
            Record record = null;
            switch (action.kind()) {
                case 0 -> views[operator] = state;
                case 1, 2 -> {
                    Intent intent = new Intent(
                            List.of(RIDERS),
                            List.of(declared("p" + action.placement(), WEIGHTS, action.replicas(), List.of())));
                    plans[operator] = new Planner(LINKS, views[operator], instances(3), ARTIFACTS)
                            .plan(intent)
                            .toOptional()
                            .orElse(null);
                    if (plans[operator] != null) {
                        record = new Record.PlanProposed("p" + log.size(), plans[operator]);
                    }
                }
                case 3 -> {
                    if (plans[operator] != null) {
                        record = new Record.PlanConfirmed(
                                "c" + log.size(), plans[operator].basis(), plans[operator].id(), "op" + operator);
                    }
                }
                default -> record = log.isEmpty() ? null : log.get(action.replicas() * 7 % log.size());
            }
            if (record != null) {
                Reducer.Outcome outcome = Reducer.fold(state, log.size(), record);
                model.verify(state, record, outcome);
                log.add(record);
                state = outcome.state();
            }
        }
        model.verifyFinalState(state);
        return log;
    }

    /** A reference model: an accepted confirmation sets the placements of its plan, and nothing else changes them. */
    private static final class Model {

        private final Map<String, Integer> replicas = new HashMap<>();
        private final Map<String, Long> acceptedAt = new HashMap<>();

        void verify(FoldedState before, Record record, Reducer.Outcome outcome) {
            boolean accepted = outcome.verdict() instanceof Verdict.Accepted;
            if (!(record instanceof Record.PlanConfirmed confirmed) || !accepted) {
                assertEquals(
                        before.placements(),
                        outcome.state().placements(),
                        "only an accepted confirmation may change placements");
                return;
            }
            Plan plan = before.proposals().get(confirmed.planId()).plan();
            plan.placements().forEach(step -> {
                String name = step.placement().name();
                assertTrue(
                        acceptedAt.getOrDefault(name, -1L) <= plan.basis(),
                        "a plan based on a state before the latest change must not be accepted");
                acceptedAt.put(name, outcome.state().offset());
                replicas.put(name, step.placement().replicas());
            });
        }

        void verifyFinalState(FoldedState state) {
            Map<String, Integer> actual = new HashMap<>();
            state.placements()
                    .forEach(
                            (name, placed) -> actual.put(name, placed.replicas().size()));
            assertEquals(replicas, actual);
        }
    }

    @Property(tries = 300, seed = "20261202")
    void shouldNeverLoseOrRevertAcceptedPlans(@ForAll("actions") List<Action> actions) {
        performActions(actions, new Model());
    }

    @Property(tries = 100, seed = "20261202")
    void shouldReachSameDigestForAnyPageSizeAndCheckpoint(@ForAll("actions") List<Action> actions, @ForAll int cut)
            throws IOException {
        List<Record> log = performActions(actions, new Model());
        FoldedState expected = FoldedState.empty();
        List<PlatformLog.Entry> entries = new ArrayList<>();
        for (int i = 0; i < log.size(); i++) {
            expected = Reducer.fold(expected, i, log.get(i)).state();
            entries.add(entry(i, log.get(i)));
        }
        assertEquals(
                expected.digest(),
                foldInPages(entries, Math.floorMod(cut, 7) + 1).digest());
        if (!log.isEmpty()) {
            assertEquals(
                    expected.digest(),
                    foldFromCheckpoint(log, Math.floorMod(cut, log.size())).digest());
        }
    }

    private static PlatformLog.Entry entry(long offset, Record record) {
        return new PlatformLog.Entry(offset, offset, CanonicalJson.write(new Record.Envelope(Record.SCHEMA, record)));
    }

    private static FoldedState foldInPages(List<PlatformLog.Entry> entries, int pageSize) {
        FoldedState state = FoldedState.empty();
        for (int from = 0; from < entries.size(); from += pageSize) {
            // Pages overlap by one record, as they do when a response was lost and the page is requested again.
            List<PlatformLog.Entry> page =
                    entries.subList(Math.max(0, from - 1), Math.min(entries.size(), from + pageSize));
            state = ConfigurationFold.fold(state, new PlatformLog.Page(0, page))
                    .toOptional()
                    .orElseThrow()
                    .state();
        }
        return state;
    }

    /** Folds the log as a reader does that starts at a checkpoint because the log no longer has the earlier records. */
    private static FoldedState foldFromCheckpoint(List<Record> log, int checkpointOffset) throws IOException {
        FoldedState state = FoldedState.empty();
        for (int i = 0; i <= checkpointOffset; i++) {
            state = Reducer.fold(state, i, log.get(i)).state();
        }
        FoldedState restored = CanonicalJson.read(CanonicalJson.write(state), FoldedState.class);
        assertEquals(state.digest(), restored.digest());
        for (int i = checkpointOffset + 1; i < log.size(); i++) {
            restored = Reducer.fold(restored, i, log.get(i)).state();
        }
        return restored;
    }
}
