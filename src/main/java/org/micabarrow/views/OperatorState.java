package org.micabarrow.views;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.View.Learned;

/** Applies operator records, and the records that processes saved about them, to the view. Not thread-safe. */
final class OperatorState {

    private final RecordDecoder decoder;
    private final LongSupplier steadyMillis;
    private final WeightTargets targets;
    private final ManifestTracker manifests = new ManifestTracker();
    private boolean loaded;

    /** Whether an invalid manifest followed the active one, so that the rules that apply now are unknown. */
    private boolean unusable;

    OperatorState(RecordDecoder decoder, LongSupplier steadyMillis, LongSupplier unixMillis) {
        this.decoder = decoder;
        this.steadyMillis = steadyMillis;
        this.targets = new WeightTargets(steadyMillis, unixMillis);
    }

    /**
     * The effect of a record.
     *
     * @param view the resulting view
     * @param relevantToAgents whether agents use the record
     */
    record Change(View view, boolean forAgents) {}

    /**
     * Marks that all operator records have been read once: from now on, this process observes when a version is named.
     */
    void loaded() {
        loaded = true;
    }

    /** Whether all operator records have been read once. */
    boolean isLoaded() {
        return loaded;
    }

    // -- operator records

    /** Applies an operator record. */
    Change said(StoredRecord record, View view) {
        if (record.dropped()) {
            OperatorLog.dropped(record);
            return new Change(view, false);
        }
        return switch (decoder.operator(record)) {
            case Result.Failure<OperatorRecord>(Fault fault) -> {
                OperatorLog.refused(record, fault);
                unusable |= decoder.isManifest(record.key());
                yield new Change(view, false);
            }
            case Result.Success<OperatorRecord>(OperatorRecord.ManifestSet(RouteManifest manifest)) ->
                manifestSet(record, manifest, view);
            case Result.Success<OperatorRecord>(
                    OperatorRecord.WeightsNamed(String model, long version, OptionalLong ignored)) ->
                weightsNamed(record, model, version, view);
            case Result.Success<OperatorRecord>(OperatorRecord.ManifestKept ignored) -> unused(record, view);
            case Result.Success<OperatorRecord>(OperatorRecord.Unused ignored) -> unused(record, view);
        };
    }

    private static Change unused(StoredRecord record, View view) {
        OperatorLog.ofOthers(record);
        return new Change(view, false);
    }

    private Change manifestSet(StoredRecord record, RouteManifest manifest, View view) {
        if (!manifests.take(record, manifest)) {
            return new Change(view, false);
        }
        unusable = false;
        boolean sameServices = view.manifest().filter(manifest::sameServices).isPresent();
        return new Change(view.withManifest(manifest, record.offset()), !sameServices);
    }

    private Change weightsNamed(StoredRecord record, String model, long version, View view) {
        long newest = view.newestTarget(model).map(View.Target::version).orElse(0L);
        View.Target target = targets.byOperator(record, model, version, loaded);
        View after = withTarget(model, target, view, "store offset=" + record.offset());
        if (after == view && version < newest) {
            OperatorLog.namedLate(record, model, version, newest);
        }
        return new Change(after, true);
    }

    /** Adds a weight version that a peer reported. */
    View wanted(String model, long version, View view) {
        Learned learned = loaded ? Learned.SEEN_NAMED : Learned.TOLD_BY_PEER;
        return withTarget(model, new View.Target(version, steadyMillis.getAsLong(), learned), view, "peer");
    }

    /** Returns the view with a target added, or the same view if the target is not newer. The source is only logged. */
    private View withTarget(String model, View.Target target, View view, String source) {
        View after = view.withTarget(model, target);
        if (after != view) {
            OperatorLog.named(model, target, steadyMillis.getAsLong() - target.learnedMillis(), source);
        }
        return after;
    }

    // -- records saved by processes

    /** Applies records that processes saved. */
    View kept(List<StoredRecord> records, View view) {
        List<OperatorRecord> said = records.stream()
                .filter(record -> !record.dropped())
                .map(decoder::operator)
                .flatMap(one -> one.toOptional().stream())
                .toList();
        manifests.takeKept(said);
        View after = view;
        for (var newest : targets.kept(said).entrySet()) {
            after = withTarget(newest.getKey(), newest.getValue(), after, "kept");
        }
        return after;
    }

    /** The newest versions that are not known to be saved in the store under their own keys. */
    List<Unkept> unkept(TopicCopy lying) {
        return targets.unkept(lying);
    }

    // -- manifests, see ManifestTracker

    OptionalLong lackingManifest(long readTo) {
        return manifests.lacking(readTo);
    }

    /** Whether this process lacks the manifest that should be active, or cannot use it. */
    boolean misses(long readTo) {
        return unusable || manifests.lacking(readTo).isPresent();
    }

    void manifestStands(ManifestPlace place) {
        manifests.stands(place);
    }

    Optional<ManifestPlace> newestManifest() {
        return manifests.newest();
    }

    Optional<Unkept> unkeptManifest(TopicCopy lying) {
        return manifests.unkept(lying);
    }

    // -- peers

    /**
     * Adds the records of the newest manifest and versions at or after an offset, which are no longer in the topic copy
     * if an older one was written after them. The records are in order of offset: otherwise the reader would apply the
     * older ones and skip the newer ones.
     */
    List<StoredRecord> withHidden(Collection<StoredRecord> records, long offset) {
        Stream<StoredRecord> newest =
                Stream.concat(manifests.newestRecord(offset).stream(), targets.newestRecords(offset).stream());
        return Stream.concat(records.stream(), newest)
                .distinct()
                .sorted(Comparator.comparingLong(StoredRecord::offset))
                .toList();
    }
}
