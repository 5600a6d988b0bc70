package org.micabarrow.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Folds records into the state. Every node folds the same records in the same order to the same state, so the order of
 * offsets decides between writers and no node asks another.
 *
 * <pre>{@code
 * Reducer.Outcome outcome = Reducer.fold(state, offset, record);
 * }</pre>
 */
public final class Reducer {

    /** How many proposals are kept; the oldest goes first. */
    public static final int PROPOSALS_KEPT = 64;

    /** How many verdicts are kept; the oldest goes first. */
    public static final int VERDICTS_KEPT = 1024;

    private Reducer() {}

    /**
     * The state after a record, and what was made of it.
     *
     * @param state the state
     * @param verdict the verdict
     */
    public record Outcome(FoldedState state, Verdict verdict) {}

    /**
     * Folds one record.
     *
     * @param state the state before it
     * @param offset the record's offset, greater than the state's
     * @param record the record
     * @return the state after it and the verdict
     * @throws IllegalArgumentException if the offset does not follow
     */
    public static Outcome fold(FoldedState state, long offset, Record record) {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(record, "record is null");
        if (offset != state.offset() + 1) {
            throw new IllegalArgumentException("offset " + offset + " does not follow " + state.offset());
        }
        Optional<FoldedState.Seen> earlier = Optional.ofNullable(state.seen().get(record.id()));
        if (earlier.isPresent()) {
            return new Outcome(
                    new Draft(state, offset).finish(),
                    new Verdict.Duplicate(earlier.get().offset()));
        }
        Draft draft = new Draft(state, offset);
        Verdict verdict = draft.apply(record);
        draft.seen.put(record.id(), new FoldedState.Seen(offset, verdict));
        return new Outcome(draft.finish(), verdict);
    }

    /** The mutable copy on which one record works. */
    private static final class Draft {

        private final long offset;
        private final FoldedState before;
        private final SortedMap<String, FoldedState.Placed> placements;
        private final SortedMap<String, Organisation> organisations;
        private final SortedMap<String, FoldedState.Proposal> proposals;
        private final SortedMap<String, Long> touched;
        private final SortedMap<String, FoldedState.Seen> seen;

        Draft(FoldedState state, long offset) {
            this.offset = offset;
            before = state;
            placements = new TreeMap<>(state.placements());
            organisations = new TreeMap<>(state.organisations());
            proposals = new TreeMap<>(state.proposals());
            touched = new TreeMap<>(state.touched());
            seen = new TreeMap<>(state.seen());
        }

        Verdict apply(Record record) {
            return switch (record) {
                case Record.PlanProposed proposed -> propose(proposed);
                case Record.PlanConfirmed confirmed -> confirm(confirmed);
                case Record.ReplicaReplaced replaced -> replace(replaced);
                case Record.OriginDrawn drawn -> draw(drawn);
                case Record.Checkpoint checkpoint -> compare(checkpoint);
            };
        }

        private Verdict propose(Record.PlanProposed record) {
            proposals.putIfAbsent(record.plan().id(), new FoldedState.Proposal(offset, record.plan()));
            return new Verdict.Accepted();
        }

        private Verdict confirm(Record.PlanConfirmed record) {
            FoldedState.Proposal proposal = proposals.get(record.planId());
            if (proposal == null) {
                return new Verdict.Refused("no plan " + record.planId() + " is waiting to be confirmed");
            }
            Plan plan = proposal.plan();
            Optional<Verdict> changed = changedSince(plan.basis(), plan.touches());
            if (changed.isPresent()) {
                return changed.get();
            }
            plan.organisations().forEach(organisation -> organisations.put(organisation.name(), organisation));
            plan.placements().forEach(step -> place(record.planId(), step));
            plan.touches().forEach(key -> touched.put(key, offset));
            proposals.remove(record.planId());
            return new Verdict.Accepted();
        }

        private void place(String planId, Plan.Step step) {
            Placement placement = step.placement();
            if (placement.replicas() == 0) {
                placements.remove(placement.name());
                return;
            }
            Optional<Workload> previous = Optional.ofNullable(placements.get(placement.name()))
                    .map(placed -> placed.placement().workload())
                    .filter(workload -> !workload.equals(placement.workload()));
            placements.put(
                    placement.name(), new FoldedState.Placed(placement, planId, offset, step.chains(), 0, 0, previous));
        }

        private Verdict replace(Record.ReplicaReplaced record) {
            FoldedState.Placed placed = placements.get(record.placement());
            if (placed == null) {
                return new Verdict.Refused("no placement " + record.placement());
            }
            List<String> keys = List.of(
                    "placement/" + record.placement(),
                    "instance/" + record.replacement().instance());
            Optional<Verdict> changed = changedSince(record.basis(), keys);
            if (changed.isPresent()) {
                return changed.get();
            }
            Optional<String> objection = objectionTo(record, placed);
            if (objection.isPresent()) {
                return new Verdict.Refused(objection.get());
            }
            List<List<Replica>> chains = placed.chains().stream()
                    .map(chain -> swap(chain, record.lost(), record.replacement()))
                    .toList();
            placements.put(record.placement(), placed.withReplacement(chains));
            keys.forEach(key -> touched.put(key, offset));
            return new Verdict.Accepted();
        }

        private static Optional<String> objectionTo(Record.ReplicaReplaced record, FoldedState.Placed placed) {
            Replica replacement = record.replacement();
            if (placed.replaced() >= placed.placement().envelope().replacements()) {
                return Optional.of("the envelope of " + record.placement() + " allows no further replacement");
            }
            if (!placed.placement().allows(replacement.region(), replacement.hall())) {
                return Optional.of(record.placement() + " does not allow " + replacement.hall());
            }
            if (placed.replicaOn(record.lost()).isEmpty()) {
                return Optional.of(record.placement() + " has no replica on " + record.lost());
            }
            if (placed.replicaOn(replacement.instance()).isPresent()) {
                return Optional.of(record.placement() + " has a replica on " + replacement.instance());
            }
            return Optional.empty();
        }

        private static List<Replica> swap(List<Replica> chain, String lost, Replica replacement) {
            List<Replica> swapped = new ArrayList<>(chain);
            swapped.replaceAll(replica -> replica.instance().equals(lost) ? replacement : replica);
            return swapped;
        }

        private Verdict draw(Record.OriginDrawn record) {
            FoldedState.Placed placed = placements.get(record.placement());
            if (placed == null || placed.replicaOn(record.instance()).isEmpty()) {
                return new Verdict.Refused(record.instance() + " carries no replica of " + record.placement());
            }
            long drawn = placed.drawn() + record.bytes();
            if (record.bytes() <= 0 || drawn > placed.placement().envelope().originBytes()) {
                return new Verdict.Refused("the envelope of " + record.placement() + " has "
                        + (placed.placement().envelope().originBytes() - placed.drawn()) + " origin bytes left");
            }
            placements.put(record.placement(), placed.withDrawn(drawn));
            return new Verdict.Accepted();
        }

        private Verdict compare(Record.Checkpoint checkpoint) {
            boolean same = checkpoint.state().offset() < before.offset()
                    || checkpoint.digest().equals(before.digest());
            return same ? new Verdict.Accepted() : new Verdict.Refused("checkpoint differs from the folded records");
        }

        private Optional<Verdict> changedSince(long basis, Iterable<String> keys) {
            for (String key : keys) {
                long at = touched.getOrDefault(key, -1L);
                if (at > basis) {
                    return Optional.of(new Verdict.Superseded(key, at));
                }
            }
            return Optional.empty();
        }

        FoldedState finish() {
            trim(proposals, PROPOSALS_KEPT, FoldedState.Proposal::offset);
            trim(seen, VERDICTS_KEPT, FoldedState.Seen::offset);
            return new FoldedState(offset, placements, organisations, proposals, touched, seen);
        }

        private static <T> void trim(SortedMap<String, T> map, int kept, ToLongFunction<T> age) {
            while (map.size() > kept) {
                map.entrySet().stream()
                        .min(Comparator.comparingLong(entry -> age.applyAsLong(entry.getValue())))
                        .ifPresent(oldest -> map.remove(oldest.getKey()));
            }
        }
    }
}
