package org.micabarrow.views;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.View.TargetSource;

/** Applies operator records, and the records that processes saved about them, to the view. Not thread-safe. */
final class OperatorState {

    private final RecordDecoder decoder;
    private final LongSupplier monotonicMillis;
    private final Evacuations evacuations;
    private final WeightTargets targets;
    private final ManifestTracker manifests = new ManifestTracker();
    private boolean loaded;

    /** When the latest operator records were read last; what they replaced was written before. */
    private long loadedAtMillis;

    private OptionalLong savedReadTo = OptionalLong.empty();

    /** Whether an invalid manifest followed the active one, so that the rules that apply now are unknown. */
    private boolean manifestInvalid;

    OperatorState(
            RecordDecoder decoder,
            LongSupplier monotonicMillis,
            LongSupplier unixMillis,
            Predicate<String> isKnownHall) {
        this.decoder = decoder;
        this.evacuations = new Evacuations(isKnownHall);
        this.monotonicMillis = monotonicMillis;
        this.targets = new WeightTargets(monotonicMillis, unixMillis);
    }

    /**
     * The effect of a record.
     *
     * @param view the resulting view
     * @param relevantToAgents whether agents use the record
     */
    record Change(View view, boolean relevantToAgents) {}

    /**
     * Marks that the latest operator records have been read: from now on, this process observes when a version is named.
     */
    void markLoaded() {
        loaded = true;
        loadedAtMillis = monotonicMillis.getAsLong();
    }

    /** Whether all operator records have been read once. */
    boolean isLoaded() {
        return loaded;
    }

    // -- operator records

    /**
     * Applies an operator record.
     *
     * @param record the record
     * @param continuity whether it continues what was read before
     * @param view the view to change
     * @param notBeforeMillis a time on the monotonic clock before which a weight version that the record names, and
     *     that is not known yet, was not named; empty if none is known
     * @return the resulting change
     */
    Change apply(StoredRecord record, Continuity continuity, View view, OptionalLong notBeforeMillis) {
        Optional<String> hall = decoder.evacuatedHall(record.key());
        if (hall.isPresent()) {
            View after = evacuations.apply(record, hall.get(), continuity, view, monotonicMillis.getAsLong());
            return new Change(after, false);
        }
        if (record.isTombstone()) {
            OperatorLog.ignoredDeletion(record);
            return new Change(view, false);
        }
        return switch (decoder.decodeOperatorRecord(record)) {
            case Result.Failure<OperatorRecord>(Fault fault) -> {
                OperatorLog.invalidRecord(record, fault);
                manifestInvalid |= decoder.isManifest(record.key());
                yield new Change(view, false);
            }
            case Result.Success<OperatorRecord>(OperatorRecord.ManifestPublished(RouteManifest manifest)) ->
                applyManifest(record, manifest, view);
            case Result.Success<OperatorRecord>(OperatorRecord.WeightsNamed named) ->
                applyWeights(record, named.model(), named.version(), view, notBeforeMillis);
            case Result.Success<OperatorRecord>(OperatorRecord.SavedManifest ignored) -> ignore(record, view);
            case Result.Success<OperatorRecord>(OperatorRecord.UnusedRecord ignored) -> ignore(record, view);
        };
    }

    /** Ends the evacuations that a restored store lacks and that no operator has confirmed in time. */
    View withoutUnconfirmedEvacuations(View view) {
        return evacuations.withoutUnconfirmed(view, monotonicMillis.getAsLong());
    }

    private static Change ignore(StoredRecord record, View view) {
        OperatorLog.unusedRecord(record);
        return new Change(view, false);
    }

    private Change applyManifest(StoredRecord record, RouteManifest manifest, View view) {
        if (!manifests.accept(record, manifest)) {
            return new Change(view, false);
        }
        manifestInvalid = false;
        boolean sameServices = view.manifest().filter(manifest::sameServices).isPresent();
        return new Change(view.withManifest(manifest, record.offset()), !sameServices);
    }

    private Change applyWeights(
            StoredRecord record, String model, long version, View view, OptionalLong notBeforeMillis) {
        long newest = view.newestTarget(model).map(View.Target::version).orElse(0L);
        boolean relevantToAgents = targets.isNewer(model, version);
        targets.recordNamed(record, model, version);
        TargetSource source = loaded ? TargetSource.OBSERVED : TargetSource.FOUND_WITHOUT_TIME;
        View.Target target = new View.Target(version, namingTime(notBeforeMillis), source);
        View after = withTarget(model, target, view, "store " + EraOffset.toLog(record.offset()));
        if (after == view && version < newest) {
            OperatorLog.outdatedTargetNamed(record, model, version, newest);
        }
        return new Change(after, relevantToAgents);
    }

    /**
     * Returns when a version was named of which this process learns now. One that was found at startup may have been
     * named at any time before.
     */
    private NamingTime namingTime(OptionalLong notBeforeMillis) {
        return new NamingTime(monotonicMillis.getAsLong(), loaded ? notBeforeMillis : OptionalLong.empty());
    }

    /** Adds a weight version that a peer reported. */
    View addPeerTarget(String model, long version, View view, OptionalLong notBeforeMillis) {
        TargetSource source = loaded ? TargetSource.OBSERVED : TargetSource.REPORTED_BY_PEER;
        return withTarget(model, new View.Target(version, namingTime(notBeforeMillis), source), view, "peer");
    }

    /**
     * Applies a record that the latest one of its key had replaced when that was read. What has no order of its own,
     * such as an evacuation, is left out.
     */
    Change applyReplaced(StoredRecord record, View view) {
        if (record.isTombstone() || decoder.evacuatedHall(record.key()).isPresent()) {
            return new Change(view, false);
        }
        return switch (decoder.decodeOperatorRecord(record)) {
            case Result.Success<OperatorRecord>(OperatorRecord.ManifestPublished(RouteManifest manifest)) ->
                manifests.isNewer(manifest) ? applyManifest(record, manifest, view) : new Change(view, false);
            case Result.Success<OperatorRecord>(OperatorRecord.WeightsNamed named) -> {
                boolean relevantToAgents = targets.isNewer(named.model(), named.version());
                targets.recordNamed(record, named.model(), named.version());
                String source = "history " + EraOffset.toLog(record.offset());
                yield new Change(withReplacedTarget(named.model(), named.version(), view, source), relevantToAgents);
            }
            case Result.Success<OperatorRecord> ignored -> new Change(view, false);
            case Result.Failure<OperatorRecord>(Fault fault) -> {
                OperatorLog.invalidRecord(record, fault);
                yield new Change(view, false);
            }
        };
    }

    /** Adds a weight version that another source than the store knows. It is saved like one that operators named. */
    View addConfirmedTarget(String model, long version, View view) {
        return withReplacedTarget(model, version, view, "origin");
    }

    /** Adds a version that was named before the latest records were read, and that they do not show. */
    private View withReplacedTarget(String model, long version, View view, String source) {
        NamingTime atTheLatest = NamingTime.at(loadedAtMillis);
        View after =
                withTarget(model, new View.Target(version, atTheLatest, TargetSource.FOUND_WITHOUT_TIME), view, source);
        if (after != view) {
            targets.recordReplaced(model, version);
        }
        return after;
    }

    /** The models of which operators named a weight version. */
    Set<String> namedModels() {
        return targets.namedModels();
    }

    /** Adds what a peer knows of when versions were named. A process that is starting relies on the store alone. */
    View applyAccounts(List<NamingAccount> accounts, View view) {
        View after = view;
        for (NamingAccount account : loaded ? accounts : List.<NamingAccount>of()) {
            View updated = after.withNamingAccount(account, monotonicMillis.getAsLong());
            if (updated != after) {
                OperatorLog.accountTaken(account, monotonicMillis.getAsLong() - account.notBeforeMillis());
            }
            after = updated;
        }
        return after;
    }

    /** What this process can tell others of when versions were named, of which it has read the operator's record. */
    List<NamingAccount> accounts(View view) {
        return targets.accounts(view);
    }

    /** Returns the view with a target added, or the same view if the target is not newer. The source is only logged. */
    private View withTarget(String model, View.Target target, View view, String source) {
        View after = view.withTarget(model, target);
        if (after != view) {
            OperatorLog.targetNamed(model, target, monotonicMillis.getAsLong() - target.namedAtMillis(), source);
        }
        return after;
    }

    // -- records saved by processes

    /** Applies records that processes saved. */
    View applySaved(List<StoredRecord> records, View view) {
        List<OperatorRecord> saved = records.stream()
                .filter(record -> !record.isTombstone())
                .map(decoder::decodeOperatorRecord)
                .flatMap(result -> result.toOptional().stream())
                .toList();
        manifests.applySaved(saved);
        savedReadTo = LongStream.concat(
                        savedReadTo.stream(),
                        records.stream()
                                .filter(record -> !record.isTombstone())
                                .flatMapToLong(record -> decoder.savedReadTo(record).stream()))
                .max();
        View after = view;
        for (WeightTargets.SavedTarget item : targets.saved(saved)) {
            after = withTarget(item.model(), item.target(), after, "kept");
        }
        return after;
    }

    /** The offset before which a process knew all operator records when it saved; empty if none has stated one. */
    OptionalLong savedReadTo() {
        return savedReadTo;
    }

    /** The versions that are not known to be saved in the store under their own keys. */
    List<UnsavedItem> unsavedVersions(TopicCopy savedCopy, View view) {
        return targets.unsaved(savedCopy, view);
    }

    // -- manifests, see ManifestTracker

    OptionalLong missingManifestOffset(long readTo) {
        return manifests.missingOffset(readTo);
    }

    /** Whether this process lacks the manifest that should be active, or cannot use it. */
    boolean lacksManifest(long readTo) {
        return manifestInvalid || manifests.missingOffset(readTo).isPresent();
    }

    void recordManifestPosition(ManifestPosition position) {
        manifests.recordPosition(position);
    }

    Optional<ManifestPosition> newestManifestPosition() {
        return manifests.newestPosition();
    }

    Optional<UnsavedItem> unsavedManifest(TopicCopy savedCopy) {
        return manifests.unsaved(savedCopy);
    }

    Optional<UnsavedItem> newestManifest(TopicCopy savedCopy) {
        return manifests.newest(savedCopy);
    }

    // -- peers

    /**
     * Adds the records of the newest manifest and versions at or after an offset, which are no longer in the topic copy
     * if an older one was written after them. The records are in order of offset: otherwise the reader would apply the
     * older ones and skip the newer ones.
     */
    List<StoredRecord> withReplaced(Collection<StoredRecord> records, long offset) {
        Stream<StoredRecord> newest =
                Stream.concat(manifests.activeRecordFrom(offset).stream(), targets.newestRecords(offset).stream());
        return Stream.concat(records.stream(), newest)
                .distinct()
                .sorted(Comparator.comparingLong(StoredRecord::offset))
                .toList();
    }
}
