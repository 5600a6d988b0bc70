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

/** Operators plan and confirm in any interleaving, on views of any age; some records come twice. */
class ReducerProperties {

    private static final int OPERATORS = 3;

    /** One operator's action: look, propose or confirm, on one of two placements. */
    record Action(int operator, int what, int placement, int replicas) {}

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

    /** Runs actions, and returns the log that they wrote. */
    private static List<Record> write(List<Action> actions, Oracle oracle) {
        List<Record> log = new ArrayList<>();
        FoldedState state = FoldedState.empty();
        FoldedState[] seen = new FoldedState[OPERATORS];
        Plan[] plans = new Plan[OPERATORS];
        Arrays.fill(seen, state);
        for (Action action : actions) {
            int operator = action.operator();
            Record record = null;
            switch (action.what()) {
                case 0 -> seen[operator] = state;
                case 1, 2 -> {
                    Intent intent = new Intent(
                            List.of(RIDERS),
                            List.of(declared("p" + action.placement(), WEIGHTS, action.replicas(), List.of())));
                    plans[operator] = new Planner(LINKS, seen[operator], instances(3), ARTIFACTS)
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
                oracle.judge(state, record, outcome);
                log.add(record);
                state = outcome.state();
            }
        }
        oracle.compare(state);
        return log;
    }

    /** Knows only: an accepted confirmation sets its placements, and nothing else does. */
    private static final class Oracle {

        private final Map<String, Integer> replicas = new HashMap<>();
        private final Map<String, Long> acceptedAt = new HashMap<>();

        void judge(FoldedState before, Record record, Reducer.Outcome outcome) {
            boolean accepted = outcome.verdict() instanceof Verdict.Accepted;
            if (!(record instanceof Record.PlanConfirmed confirmed) || !accepted) {
                assertEquals(before.placements(), outcome.state().placements(), "only a confirmation changes anything");
                return;
            }
            Plan plan = before.proposals().get(confirmed.planId()).plan();
            plan.placements().forEach(step -> {
                String name = step.placement().name();
                assertTrue(
                        acceptedAt.getOrDefault(name, -1L) <= plan.basis(),
                        "a plan that did not see the latest change must not be accepted");
                acceptedAt.put(name, outcome.state().offset());
                replicas.put(name, step.placement().replicas());
            });
        }

        void compare(FoldedState state) {
            Map<String, Integer> inForce = new HashMap<>();
            state.placements()
                    .forEach((name, placed) ->
                            inForce.put(name, placed.replicas().size()));
            assertEquals(replicas, inForce);
        }
    }

    @Property(tries = 300, seed = "20261202")
    void shouldNeverLoseOrRevertWhatWasAccepted(@ForAll("actions") List<Action> actions) {
        write(actions, new Oracle());
    }

    @Property(tries = 100, seed = "20261202")
    void shouldReachOneDigestHoweverTheLogIsPagedAndFromAnyCheckpoint(
            @ForAll("actions") List<Action> actions, @ForAll int cuts) throws IOException {
        List<Record> log = write(actions, new Oracle());
        FoldedState whole = FoldedState.empty();
        List<PlatformLog.Entry> entries = new ArrayList<>();
        for (int i = 0; i < log.size(); i++) {
            whole = Reducer.fold(whole, i, log.get(i)).state();
            entries.add(entry(i, log.get(i)));
        }
        assertEquals(whole.digest(), paged(entries, Math.floorMod(cuts, 7) + 1).digest());
        if (!log.isEmpty()) {
            assertEquals(
                    whole.digest(),
                    fromCheckpoint(log, Math.floorMod(cuts, log.size())).digest());
        }
    }

    private static PlatformLog.Entry entry(long offset, Record record) {
        return new PlatformLog.Entry(offset, offset, CanonicalJson.write(new Record.Envelope(Record.SCHEMA, record)));
    }

    private static FoldedState paged(List<PlatformLog.Entry> entries, int size) {
        FoldedState state = FoldedState.empty();
        for (int from = 0; from < entries.size(); from += size) {
            // Pages overlap by one record, as they do when an answer was lost and is asked for again.
            List<PlatformLog.Entry> page =
                    entries.subList(Math.max(0, from - 1), Math.min(entries.size(), from + size));
            state = ConfigurationFold.fold(state, new PlatformLog.Page(0, page))
                    .toOptional()
                    .orElseThrow()
                    .state();
        }
        return state;
    }

    /** A reader that comes when the log has let go of all before a checkpoint. */
    private static FoldedState fromCheckpoint(List<Record> log, int at) throws IOException {
        FoldedState state = FoldedState.empty();
        for (int i = 0; i <= at; i++) {
            state = Reducer.fold(state, i, log.get(i)).state();
        }
        FoldedState written = CanonicalJson.read(CanonicalJson.write(state), FoldedState.class);
        assertEquals(state.digest(), written.digest());
        for (int i = at + 1; i < log.size(); i++) {
            written = Reducer.fold(written, i, log.get(i)).state();
        }
        return written;
    }
}
