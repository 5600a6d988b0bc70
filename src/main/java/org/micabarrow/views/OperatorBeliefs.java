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

/**
 * What operators wrote, and what processes keep of it in the store, as far as it changes a view. Not safe for several threads at
 * once.
 */
final class OperatorBeliefs {

    private final RecordDecoder decoder;
    private final LongSupplier steadyMillis;
    private final NamedTargets targets;
    private final Manifests manifests = new Manifests();
    private boolean loaded;

    /** Whether a manifest came after the one in force that cannot be used: what it allows is not known. */
    private boolean unusable;

    OperatorBeliefs(RecordDecoder decoder, LongSupplier steadyMillis, LongSupplier unixMillis) {
        this.decoder = decoder;
        this.steadyMillis = steadyMillis;
        this.targets = new NamedTargets(steadyMillis, unixMillis);
    }

    /**
     * What a record changes.
     *
     * @param view the view after it
     * @param forAgents whether agents act on it
     */
    record Change(View view, boolean forAgents) {}

    /** All that operators wrote has been read once: what is named from now on is seen being named. */
    void loaded() {
        loaded = true;
    }

    /** Whether all that operators wrote has been read once. */
    boolean isLoaded() {
        return loaded;
    }

    // -- what operators wrote

    /** Takes a record of operators. */
    Change said(StoredRecord record, View view) {
        if (record.dropped()) {
            OperatorLines.dropped(record);
            return new Change(view, false);
        }
        return switch (decoder.operator(record)) {
            case Result.Failure<OperatorRecord>(Fault fault) -> {
                OperatorLines.refused(record, fault);
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
        OperatorLines.ofOthers(record);
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
            OperatorLines.namedLate(record, model, version, newest);
        }
        return new Change(after, true);
    }

    /** Takes a weight version of which a peer told. */
    View wanted(String model, long version, View view) {
        Learned learned = loaded ? Learned.SEEN_NAMED : Learned.TOLD_BY_PEER;
        return withTarget(model, new View.Target(version, steadyMillis.getAsLong(), learned), view, "peer");
    }

    /** The view with one more version wanted, the same one if none is newer; the source is for the log. */
    private View withTarget(String model, View.Target target, View view, String source) {
        View after = view.withTarget(model, target);
        if (after != view) {
            OperatorLines.named(model, target, steadyMillis.getAsLong() - target.learnedMillis(), source);
        }
        return after;
    }

    // -- what processes keep in the store

    /** Takes what was kept. */
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

    /** The newest versions that are not known to lie in the store under a key of their own. */
    List<UnsavedItem> unkept(TopicCopy lying) {
        return targets.unkept(lying);
    }

    // -- manifests, see Manifests

    OptionalLong lackingManifest(long readTo) {
        return manifests.lacking(readTo);
    }

    /** Whether a manifest must be in force that this process does not have, or cannot use. */
    boolean misses(long readTo) {
        return unusable || manifests.lacking(readTo).isPresent();
    }

    void manifestStands(ManifestPosition place) {
        manifests.stands(place);
    }

    Optional<ManifestPosition> newestManifest() {
        return manifests.newest();
    }

    Optional<UnsavedItem> unkeptManifest(TopicCopy lying) {
        return manifests.unkept(lying);
    }

    // -- for peers

    /**
     * Some records of operators, and those of the newest manifest and versions that others hide from whoever reads on from an offset:
     * an older one that was written after them. In the order in which they stand, or the older would be taken and the newer not.
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
