package org.micabarrow.views;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.micabarrow.routing.EndpointRegistration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains copies of the store's topics and publishes the resulting view. Records may come from the store or from
 * peers, in any order. Changes are made under one lock; readers see immutable views.
 */
public final class ViewMaintainer {

    private static final Logger LOG = LoggerFactory.getLogger(ViewMaintainer.class);

    private final LongSupplier monotonicMillis;
    private final TopicCopies copies = new TopicCopies();
    private final EndpointListUpdater endpointList;
    private final OperatorState operatorState;
    private final OperatorFreshness freshness = new OperatorFreshness();

    /** The time up to which all named weight versions are known; agents skip other operator records. */
    private final OperatorFreshness targetFreshness = new OperatorFreshness();

    /** The offset before which a peer knows all operator records, where this process lacks no weight version. */
    private long reportedTo;

    private volatile ChangeOffsets changes = new ChangeOffsets(0, 0, 0);
    private volatile View view = View.empty();
    private volatile Consumer<List<StoredRecord>> crashListener = newRecords -> {};

    /**
     * Creates an instance without any records.
     *
     * @param decoder decodes records
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public ViewMaintainer(RecordDecoder decoder, LongSupplier monotonicMillis) {
        this(decoder, monotonicMillis, System::currentTimeMillis);
    }

    /**
     * Creates an instance without any records, for a deployment whose data halls are known.
     *
     * @param decoder decodes records
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param dataHalls the data halls; evacuations of others have no effect
     */
    public ViewMaintainer(RecordDecoder decoder, LongSupplier monotonicMillis, Set<String> dataHalls) {
        this(decoder, monotonicMillis, System::currentTimeMillis, Set.copyOf(dataHalls)::contains);
    }

    /**
     * Creates an instance without any records, with a given time of day.
     *
     * @param decoder decodes records
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param unixMillis the time of day, in milliseconds, which may be off by some seconds
     */
    ViewMaintainer(RecordDecoder decoder, LongSupplier monotonicMillis, LongSupplier unixMillis) {
        this(decoder, monotonicMillis, unixMillis, hall -> true);
    }

    private ViewMaintainer(
            RecordDecoder decoder,
            LongSupplier monotonicMillis,
            LongSupplier unixMillis,
            Predicate<String> isKnownHall) {
        Objects.requireNonNull(decoder, "decoder is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
        this.operatorState = new OperatorState(
                decoder, monotonicMillis, Objects.requireNonNull(unixMillis, "unixMillis is null"), isKnownHall);
        this.endpointList = new EndpointListUpdater(decoder);
    }

    /**
     * The current view.
     *
     * @return an immutable view
     */
    public View view() {
        return view;
    }

    /**
     * The offsets up to which the records that changed the view are known.
     *
     * @return the offsets
     */
    public ChangeOffsets changes() {
        return changes;
    }

    /**
     * Sets the listener for new records of {@link Topic#CRASHES}, which do not change the view.
     *
     * @param listener receives the records; it is called under the lock of this object and must not block
     */
    public void onCrashRecords(Consumer<List<StoredRecord>> listener) {
        crashListener = Objects.requireNonNull(listener, "listener is null");
    }

    /**
     * Sets the listener for registrations that state a cold time. It is called before the endpoint is listed, and also
     * if nothing else in the registration has changed, since the cold time is counted from each statement.
     *
     * @param listener receives the registrations; it is called under the lock of this object and must not block
     */
    public void onColdRegistration(Consumer<EndpointRegistration> listener) {
        endpointList.onColdRegistration(Objects.requireNonNull(listener, "listener is null"));
    }

    // -- records

    /**
     * Applies records of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param readTo the offset up to which the topic is now known
     */
    public synchronized void apply(Topic topic, Collection<StoredRecord> records, long readTo) {
        apply(topic, records, readTo, OptionalLong.empty());
    }

    /**
     * Applies a batch of records of a topic.
     *
     * @param topic the topic
     * @param batch the records, with what is known of when they were written
     */
    public synchronized void apply(Topic topic, TopicReader.Batch batch) {
        apply(topic, batch.records(), batch.end(), batch.notBeforeMillis());
        view = operatorState.applyAccounts(batch.accounts(), view);
    }

    private void apply(Topic topic, Collection<StoredRecord> records, long readTo, OptionalLong notBeforeMillis) {
        applyMissingManifest(topic, records);
        Continuity continuity = copies.continuity(topic, readTo);
        publish(topic, copies.of(topic).apply(records, readTo), continuity, notBeforeMillis);
        onRead(topic, readTo);
    }

    /**
     * Applies the latest records of all keys of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param endBeforeRead the end of the topic before the first of them was read
     */
    public synchronized void replace(Topic topic, Collection<StoredRecord> records, long endBeforeRead) {
        applyMissingManifest(topic, records);
        Continuity continuity = copies.continuity(topic, endBeforeRead);
        publish(topic, copies.of(topic).replace(records, endBeforeRead), continuity, OptionalLong.empty());
        if (topic == Topic.OPERATOR) {
            operatorState.markLoaded();
        }
        onRead(topic, endBeforeRead);
    }

    private void onRead(Topic topic, long readTo) {
        changes = changes.inEra(topic, EraOffset.era(readTo));
        freshness.setManifestMissing(operatorState.lacksManifest(end(Topic.OPERATOR)));
    }

    // -- updates of the view

    private void publish(
            Topic topic, List<StoredRecord> newRecords, Continuity continuity, OptionalLong notBeforeMillis) {
        if (newRecords.isEmpty()) {
            return;
        }
        switch (topic) {
            case OPERATOR -> applyOperatorRecords(newRecords, continuity, notBeforeMillis);
            case ENDPOINTS -> applyEndpointRecords(newRecords, continuity);
            case NAMED -> view = operatorState.applySaved(newRecords, view);
            case CRASHES -> crashListener.accept(newRecords);
        }
    }

    /**
     * Applies operator records, and publishes one view of all of them: a process that starts while a data hall is
     * evacuated would otherwise take requests for a moment with the manifest alone.
     */
    private void applyOperatorRecords(List<StoredRecord> records, Continuity continuity, OptionalLong notBeforeMillis) {
        OptionalLong targetsNotBefore = latest(notBeforeMillis, targetFreshness.asOf());
        View updated = view;
        List<StoredRecord> agentRecords = new ArrayList<>();
        for (StoredRecord record : records) {
            OperatorState.Change change = operatorState.apply(record, continuity, updated, targetsNotBefore);
            updated = change.view();
            if (change.relevantToAgents()) {
                agentRecords.add(record);
            }
        }
        view = updated;
        changes = changes.withOperator(records, agentRecords);
    }

    /**
     * Applies records that the latest ones of their keys had replaced when these were read: a newer manifest or weight
     * version takes effect, anything else does not.
     *
     * @param records the records, of offsets before the end at which the latest ones were read
     */
    synchronized void applyReplaced(List<StoredRecord> records) {
        List<StoredRecord> agentRecords = new ArrayList<>();
        for (StoredRecord record : records) {
            OperatorState.Change change = operatorState.applyReplaced(record, view);
            view = change.view();
            if (change.relevantToAgents()) {
                agentRecords.add(record);
            }
        }
        changes = changes.withOperator(records, agentRecords);
    }

    /**
     * Applies a missing manifest, which the topic copy ignores because it holds an older one with a greater offset.
     * This happens before the other records are applied, so that the older one is never active, not even briefly.
     */
    private void applyMissingManifest(Topic topic, Collection<StoredRecord> records) {
        OptionalLong missingOffset = topic == Topic.OPERATOR ? missingManifestOffset() : OptionalLong.empty();
        missingOffset.ifPresent(offset ->
                records.stream().filter(record -> record.offset() == offset).forEach(this::applyOperatorRecord));
    }

    private void applyOperatorRecord(StoredRecord record) {
        view = operatorState
                .apply(record, Continuity.CONTINUED, view, targetFreshness.asOf())
                .view();
    }

    private static OptionalLong latest(OptionalLong first, OptionalLong second) {
        return LongStream.concat(first.stream(), second.stream()).max();
    }

    private void applyEndpointRecords(List<StoredRecord> newRecords, Continuity continuity) {
        EndpointListUpdater.Update update =
                endpointList.apply(newRecords, continuity, view.endpoints(), monotonicMillis.getAsLong());
        if (!update.changed().isEmpty()) {
            view = view.withEndpoints(update.endpoints());
            changes = changes.withEndpoints(update.changed());
            update.logLines().forEach(LOG::info);
        }
    }

    // -- deferred changes

    /**
     * Records that a topic of the store is readable again after an outage.
     *
     * @param topic the topic
     */
    public synchronized void onStoreReachable(Topic topic) {
        if (topic == Topic.ENDPOINTS) {
            endpointList.onStoreReachable(monotonicMillis.getAsLong());
        }
    }

    /** Applies what was deferred and is due: removals of endpoints, and what a restored store left in doubt. */
    public synchronized void applyDueChanges() {
        endpointList
                .withDueChanges(view.endpoints(), monotonicMillis.getAsLong())
                .ifPresent(endpoints -> view = view.withEndpoints(endpoints));
        view = operatorState.withoutUnconfirmedEvacuations(view);
    }

    /**
     * Shortens a wait so that it ends when the first pending removal is due.
     *
     * @param wait the wait
     * @return the wait, or the time until the first pending removal is due if that is less
     */
    synchronized Duration untilNextRemoval(Duration wait) {
        return endpointList.untilNextRemoval(wait, monotonicMillis.getAsLong());
    }

    // -- the time up to which operator records are known

    /**
     * Records that all operator records up to a time are among those before an offset. Must be called after the records
     * were applied; has no effect if they are not all known here, or are of another era of the store.
     *
     * @param readTo the offset
     * @param asOfMillis the time on the monotonic clock; an earlier time than the known one has no effect
     */
    public synchronized void confirmOperator(long readTo, long asOfMillis) {
        long end = end(Topic.OPERATOR);
        if (readTo <= end && EraOffset.era(readTo) == EraOffset.era(end)) {
            freshness.confirm(asOfMillis);
            targetFreshness.confirm(asOfMillis);
        }
    }

    /**
     * Records that all weight versions that were named up to a time are among the records before an offset. Has no
     * effect if those are not all known here, or are of another era of the store.
     *
     * @param readTo the offset
     * @param asOfMillis the time on the monotonic clock; an earlier time than the known one has no effect
     */
    public synchronized void confirmTargets(long readTo, long asOfMillis) {
        long end = end(Topic.OPERATOR);
        if (readTo <= end && EraOffset.era(readTo) == EraOffset.era(end)) {
            targetFreshness.confirm(asOfMillis);
        }
    }

    /**
     * Records that a peer, which knows all operator records before an offset, knows of no weight version after those that
     * are known here. The position of its newest manifest must be recorded before.
     *
     * @param weightsTo the offset after the last record of a weight version
     * @param operatorTo the offset before which the peer knows all records
     */
    public synchronized void recordReadTo(long weightsTo, long operatorTo) {
        long end = end(Topic.OPERATOR);
        if (weightsTo <= end && EraOffset.era(operatorTo) == EraOffset.era(end)) {
            reportedTo = Math.max(reportedTo, operatorTo);
        }
    }

    /**
     * Records that a topic cannot be read, neither from the store nor from a peer. While that is so, the time that
     * passes says nothing about when a version is named of which this process learns afterwards.
     *
     * @param topic the topic
     */
    public void onStoreLost(Topic topic) {
        if (topic == Topic.OPERATOR) {
            targetFreshness.forget();
        }
    }

    /**
     * The time up to which all operator records are known. A view that is obtained after this call contains them.
     *
     * @return the time on the monotonic clock; empty if there is none, and while a manifest is known to be missing
     */
    public OptionalLong operatorAsOfMillis() {
        return freshness.asOf();
    }

    // -- peers

    /**
     * The offset from which a topic is to be read next.
     *
     * @param topic the topic
     * @return the offset
     */
    public synchronized long end(Topic topic) {
        return copies.end(topic);
    }

    /**
     * Returns the latest records of a topic at or after an offset, together with the offset to continue from,
     * atomically: if the end were read after the records, a process that continues from it would miss records that
     * arrived in between. For operator records, the batch also has the time up to which all of them are known.
     *
     * @param topic the topic
     * @param offset the offset before which the requesting process knows all records
     * @return the records, and the offset before which that process then knows all of them
     */
    public synchronized TopicReader.Batch since(Topic topic, long offset) {
        TopicCopy copy = copies.of(topic);
        List<StoredRecord> records = copy.since(offset);
        return topic == Topic.OPERATOR
                ? new TopicReader.Batch(
                        operatorState.withReplaced(records, offset),
                        copy.continueFrom(offset),
                        operatorAsOfMillis(),
                        OptionalLong.empty(),
                        operatorState.accounts(view))
                : new TopicReader.Batch(records, copy.continueFrom(offset));
    }

    /**
     * The offset from which a topic is to be requested from a peer: the offset to read from next, or that of a missing
     * manifest.
     *
     * @param topic the topic
     * @return the offset
     */
    public synchronized long peerReadOffset(Topic topic) {
        long end = end(topic);
        return topic == Topic.OPERATOR ? Math.min(end, missingManifestOffset().orElse(end)) : end;
    }

    /**
     * Adds a weight version that a peer reported as a target.
     *
     * @param model the model
     * @param version the version; has no effect if a newer one is known
     */
    public synchronized void addPeerTarget(String model, long version) {
        view = operatorState.addPeerTarget(model, version, view, targetFreshness.asOf());
    }

    /**
     * Adds a weight version of which a source other than the store states that it was named before the latest operator
     * records were read.
     *
     * @param model the model
     * @param version the version; has no effect if a newer one is known
     */
    synchronized void addConfirmedTarget(String model, long version) {
        view = operatorState.addConfirmedTarget(model, version, view);
    }

    /** The models of which operators named a weight version. */
    synchronized Set<String> namedModels() {
        return operatorState.namedModels();
    }

    /**
     * Records the position of the newest manifest as reported by a peer that has it. A process that does not need the
     * manifest itself still saves its position for others.
     *
     * @param position the position
     */
    public synchronized void recordManifestPosition(ManifestPosition position) {
        operatorState.recordManifestPosition(position);
    }

    /**
     * The position of the newest known manifest.
     *
     * @return the position, empty if none is known
     */
    public synchronized Optional<ManifestPosition> newestManifestPosition() {
        return operatorState.newestManifestPosition();
    }

    // -- records saved by processes

    /** Whether the operator records have been read. */
    synchronized boolean isOperatorLoaded() {
        return operatorState.isLoaded();
    }

    /** The offset of a manifest known to be newer than the active one; empty if there is none. */
    synchronized OptionalLong missingManifestOffset() {
        return operatorState.missingManifestOffset(end(Topic.OPERATOR));
    }

    /** The newest manifest, if it is not known to be saved. */
    synchronized Optional<UnsavedItem> unsavedManifest() {
        return operatorState.unsavedManifest(copies.of(Topic.NAMED));
    }

    /** The newest manifest as it is to be saved, whether or not it is. */
    synchronized Optional<UnsavedItem> newestManifest() {
        return operatorState.newestManifest(copies.of(Topic.NAMED));
    }

    /** The offset before which a process knew all operator records when it saved; empty if none has stated one. */
    synchronized OptionalLong savedReadTo() {
        return operatorState.savedReadTo();
    }

    /** Everything that is not known to be saved, and the offset before which all operator records are known. */
    synchronized Unsaved unsaved() {
        long end = end(Topic.OPERATOR);
        boolean sameEra = EraOffset.era(reportedTo) == EraOffset.era(end);
        return new Unsaved(unsavedVersions(), unsavedManifest(), sameEra ? Math.max(end, reportedTo) : end);
    }

    /** The newest versions that are not known to be saved in the store under their own keys. */
    synchronized List<UnsavedItem> unsavedVersions() {
        return operatorState.unsavedVersions(copies.of(Topic.NAMED), view);
    }

    /** Whether the store has continued from an older copy since the saved records were read. */
    synchronized boolean isSavedOutdated() {
        return copies.isSavedOutdated();
    }
}
