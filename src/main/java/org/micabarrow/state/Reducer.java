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
 * Folds records into the state. Every node computes the same state from the same records in the same order, so the order
 * of offsets decides between conflicting writers, and nodes need no further agreement.
 *
 * <pre>{@code
 * Reducer.Outcome outcome = Reducer.fold(state, offset, record);
 * }</pre>
 */
public final class Reducer {

    /** The maximum number of proposals kept; the oldest is discarded first. */
    public static final int MAX_PROPOSALS = 64;

    /** The maximum number of verdicts kept; the oldest is discarded first. */
    public static final int MAX_VERDICTS = 1024;

    private Reducer() {}

    /**
     * The result of folding a record.
     *
     * @param state the state after the record
     * @param verdict the verdict on the record
     */
    public record Outcome(FoldedState state, Verdict verdict) {}

    /**
     * Folds one record.
     *
     * @param state the state before the record
     * @param offset the offset of the record, which must be the state's offset plus one
     * @param record the record
     * @return the state after the record, and the verdict
     * @throws IllegalArgumentException if the offset is not the next one
     */
    public static Outcome fold(FoldedState state, long offset, Record record) {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(record, "record is null");
        if (offset != state.offset() + 1) {
            throw new IllegalArgumentException("offset " + offset + " does not follow " + state.offset());
        }
        Optional<FoldedState.RecordVerdict> earlier =
                Optional.ofNullable(state.seen().get(record.id()));
        if (earlier.isPresent()) {
            return new Outcome(
                    new StateBuilder(state, offset).build(),
                    new Verdict.Duplicate(earlier.get().offset()));
        }
        StateBuilder builder = new StateBuilder(state, offset);
        Verdict verdict = builder.apply(record);
        builder.seen.put(record.id(), new FoldedState.RecordVerdict(offset, verdict));
        return new Outcome(builder.build(), verdict);
    }

    /** A mutable copy of the state to which one record is applied. */
    private static final class StateBuilder {

        private final long offset;
        private final FoldedState before;
        private final SortedMap<String, FoldedState.ActivePlacement> placements;
        private final SortedMap<String, Organisation> organisations;
        private final SortedMap<String, FoldedState.Proposal> proposals;
        private final SortedMap<String, Long> touched;
        private final SortedMap<String, FoldedState.RecordVerdict> seen;

        StateBuilder(FoldedState state, long offset) {
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
                case Record.ReplicaReplaced replaced -> replaceReplica(replaced);
                case Record.OriginDrawn drawn -> grantOriginBytes(drawn);
                case Record.Checkpoint checkpoint -> verifyCheckpoint(checkpoint);
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
            Optional<Verdict> superseded = supersededSince(plan.basis(), plan.changedKeys());
            if (superseded.isPresent()) {
                return superseded.get();
            }
            plan.organisations().forEach(organisation -> organisations.put(organisation.name(), organisation));
            plan.placements().forEach(step -> applyStep(record.planId(), step));
            plan.changedKeys().forEach(key -> touched.put(key, offset));
            proposals.remove(record.planId());
            return new Verdict.Accepted();
        }

        private void applyStep(String planId, Plan.Step step) {
            Placement placement = step.placement();
            if (placement.replicas() == 0) {
                placements.remove(placement.name());
                return;
            }
            Optional<Workload> previous = Optional.ofNullable(placements.get(placement.name()))
                    .map(placed -> placed.placement().workload())
                    .filter(workload -> !workload.equals(placement.workload()));
            placements.put(
                    placement.name(),
                    new FoldedState.ActivePlacement(placement, planId, offset, step.chains(), 0, 0, previous));
        }

        private Verdict replaceReplica(Record.ReplicaReplaced record) {
            FoldedState.ActivePlacement placed = placements.get(record.placement());
            if (placed == null) {
                return new Verdict.Refused("no placement " + record.placement());
            }
            List<String> keys = List.of(
                    "placement/" + record.placement(),
                    "instance/" + record.replacement().instance());
            Optional<Verdict> superseded = supersededSince(record.basis(), keys);
            if (superseded.isPresent()) {
                return superseded.get();
            }
            Optional<String> refusalReason = findRefusalReason(record, placed);
            if (refusalReason.isPresent()) {
                return new Verdict.Refused(refusalReason.get());
            }
            List<List<Replica>> chains = placed.chains().stream()
                    .map(chain -> replaceIn(chain, record.lost(), record.replacement()))
                    .toList();
            placements.put(record.placement(), placed.withReplacement(chains));
            keys.forEach(key -> touched.put(key, offset));
            return new Verdict.Accepted();
        }

        private static Optional<String> findRefusalReason(
                Record.ReplicaReplaced record, FoldedState.ActivePlacement placed) {
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

        private static List<Replica> replaceIn(List<Replica> chain, String lost, Replica replacement) {
            List<Replica> replaced = new ArrayList<>(chain);
            replaced.replaceAll(replica -> replica.instance().equals(lost) ? replacement : replica);
            return replaced;
        }

        private Verdict grantOriginBytes(Record.OriginDrawn record) {
            FoldedState.ActivePlacement placed = placements.get(record.placement());
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

        private Verdict verifyCheckpoint(Record.Checkpoint checkpoint) {
            boolean matches = checkpoint.state().offset() < before.offset()
                    || checkpoint.digest().equals(before.digest());
            return matches ? new Verdict.Accepted() : new Verdict.Refused("checkpoint differs from the folded records");
        }

        private Optional<Verdict> supersededSince(long basis, Iterable<String> keys) {
            for (String key : keys) {
                long at = touched.getOrDefault(key, -1L);
                if (at > basis) {
                    return Optional.of(new Verdict.Superseded(key, at));
                }
            }
            return Optional.empty();
        }

        FoldedState build() {
            discardOldest(proposals, MAX_PROPOSALS, FoldedState.Proposal::offset);
            discardOldest(seen, MAX_VERDICTS, FoldedState.RecordVerdict::offset);
            return new FoldedState(offset, placements, organisations, proposals, touched, seen);
        }

        private static <T> void discardOldest(SortedMap<String, T> map, int maxSize, ToLongFunction<T> offsetOf) {
            while (map.size() > maxSize) {
                map.entrySet().stream()
                        .min(Comparator.comparingLong(entry -> offsetOf.applyAsLong(entry.getValue())))
                        .ifPresent(oldest -> map.remove(oldest.getKey()));
            }
        }
    }
}
