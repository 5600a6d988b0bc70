package org.micabarrow.views;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.steps.RepeatedTasks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves named weight versions, the time at which they were named, and the position of the newest manifest in the store,
 * each under its own key, and restores them at startup. The operator's own record of a model is not sufficient: a write
 * whose response was lost may take effect seconds later, after the write of a newer version, so that the latest record
 * names an older version. A set of keys ends up the same regardless of the order and number of writes. This prevents
 * endpoints from loading an older version and serving it after all processes have restarted, and prevents processes
 * from starting with an older manifest than the others use. What no process has saved is found by
 * {@link OperatorHistory}; each saved item states up to where nothing is left to find.
 */
public final class VersionPersistence implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(VersionPersistence.class);

    /**
     * The pause between two checks, in milliseconds: a version is saved half a second after it becomes known, and an
     * unresponsive store is tried twice a second.
     */
    private static final long CHECK_INTERVAL_MILLIS = 500;

    /**
     * The number of the last check after startup at which the saved versions are read again: a write may take effect up
     * to 6 s late.
     */
    private static final long LAST_STARTUP_CHECK = 16;

    /** While history is unexamined, the saved versions are read again once in this many checks, that is every 2 s. */
    private static final long CHECKS_PER_RESTORE = 4;

    /**
     * How many checks a backup waits for the primary writers: 5 s. A primary may be disconnected or gone and still be
     * listed.
     */
    private static final long BACKUP_DELAY_CHECKS = 10;

    private final TopicReader reader;
    private final VersionWriter writer;
    private final ViewMaintainer views;
    private final Supplier<WriteRole> role;
    private final Runnable requestFromPeer;
    private final OperatorHistory history;
    private final AtomicBoolean restored = new AtomicBoolean();
    private long checks;
    private long checksWithUnsaved;
    private long checksWithoutManifest;

    /** Whether a process saves the versions that it knows. Every write costs calls to the store. */
    public enum WriteRole {
        /** Saves versions at once. A few such processes are sufficient. */
        PRIMARY,
        /**
         * Saves versions if no other process has done so after a while: the primary writers may be disconnected or
         * gone.
         */
        BACKUP,
        /** Never saves versions. */
        NONE
    }

    /** Saves a version to the topic {@link Topic#NAMED}. */
    @FunctionalInterface
    public interface VersionWriter {

        /**
         * Saves that a version was named and deletes outdated keys. The operation is idempotent.
         *
         * @param item the version or manifest position to save
         * @param readTo the offset before which all operator records are known and saved with this item; empty if they
         *     are not
         * @return the records as stored in the topic, or why they may not have been stored
         */
        Result<List<StoredRecord>> write(UnsavedItem item, OptionalLong readTo);
    }

    /**
     * Creates an instance for a process without peers.
     *
     * @param reader reads the store
     * @param writer saves versions
     * @param views knows which versions were named
     * @param primary whether this process is a primary writer; otherwise it is a backup
     */
    public VersionPersistence(TopicReader reader, VersionWriter writer, ViewMaintainer views, BooleanSupplier primary) {
        this(reader, writer, views, () -> primary.getAsBoolean() ? WriteRole.PRIMARY : WriteRole.BACKUP, () -> {});
    }

    /**
     * Creates an instance for a process without an origin of weights.
     *
     * @param reader reads the store
     * @param writer saves versions
     * @param views knows which versions were named
     * @param role whether this process saves versions
     * @param requestFromPeer requests operator records from a peer, starting at {@link ViewMaintainer#peerReadOffset}
     */
    public VersionPersistence(
            TopicReader reader,
            VersionWriter writer,
            ViewMaintainer views,
            Supplier<WriteRole> role,
            Runnable requestFromPeer) {
        this(reader, writer, views, role, requestFromPeer, NewestVersionSource.none());
    }

    /**
     * Creates an instance.
     *
     * @param reader reads the store
     * @param writer saves versions
     * @param views knows which versions were named
     * @param role whether this process saves versions
     * @param requestFromPeer requests operator records from a peer, starting at {@link ViewMaintainer#peerReadOffset}
     * @param origin knows the newest weight version if the store's history does not show it
     */
    public VersionPersistence(
            TopicReader reader,
            VersionWriter writer,
            ViewMaintainer views,
            Supplier<WriteRole> role,
            Runnable requestFromPeer,
            NewestVersionSource origin) {
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.views = Objects.requireNonNull(views, "views is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.requestFromPeer = Objects.requireNonNull(requestFromPeer, "requestFromPeer is null");
        this.history = new OperatorHistory(reader, views, role, origin);
    }

    // -- reading

    /**
     * Reads the latest records. Before operator records are read, which may name an older version, the saved versions
     * are restored.
     */
    @Override
    public Result<Batch> readLatest(Topic topic) {
        if (topic != Topic.OPERATOR) {
            return reader.readLatest(topic);
        }
        restored.set(false);
        restore();
        return reader.readLatest(topic)
                .map(latest -> history.withReplaced(latest, restored.get()))
                .map(this::withReplacedManifest)
                .map(this::withTimeIfRestored);
    }

    /** Adds the newest manifest if it is missing from the latest records because an older one was written after it. */
    private Batch withReplacedManifest(Batch batch) {
        OptionalLong missingOffset = views.missingManifestOffset();
        if (missingOffset.isEmpty()
                || batch.records().stream().anyMatch(record -> record.offset() == missingOffset.getAsLong())) {
            return batch;
        }
        return batch.withRecords(readManifest(missingOffset.getAsLong()));
    }

    /**
     * Returns the manifest at an offset from the store's history, or requests it from a peer if it is no longer in the
     * history.
     */
    private List<StoredRecord> readManifest(long offset) {
        List<StoredRecord> records = readHistory(offset);
        if (records.isEmpty()) {
            requestFromPeer.run();
        }
        return records;
    }

    private List<StoredRecord> readHistory(long offset) {
        return switch (reader.readHistory(Topic.OPERATOR, offset)) {
            case Result.Success<Read>(Read.Records(Batch batch)) ->
                batch.records().stream()
                        .filter(record -> record.offset() == offset)
                        .toList();
            case Result.Success<Read>(Read.Expired ignored) -> List.of();
            case Result.Failure<Read>(Fault fault) -> {
                LOG.info("event=manifest_not_in_history {} why=\"{}\"", EraOffset.toLog(offset), fault);
                yield List.of();
            }
        };
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        return reader.read(topic, from, wait).map(this::withTimeIfRestored);
    }

    @Override
    public Result<Read> readHistory(Topic topic, long from) {
        return reader.readHistory(topic, from);
    }

    /**
     * Removes the timestamp up to which all records are known while the saved items have not been read: a newer
     * manifest may have been replaced by an older one.
     */
    private Read withTimeIfRestored(Read read) {
        return switch (read) {
            case Read.Records(Batch batch) -> new Read.Records(withTimeIfRestored(batch));
            case Read.Expired expired -> expired;
        };
    }

    private Batch withTimeIfRestored(Batch batch) {
        return restored.get() ? batch : batch.withoutTime();
    }

    @Override
    public boolean hasPeerUpdates(Topic topic) {
        return reader.hasPeerUpdates(topic);
    }

    private void restore() {
        switch (reader.readLatest(Topic.NAMED)) {
            case Result.Success<Batch>(Batch batch) -> {
                views.replace(Topic.NAMED, batch.records(), batch.end());
                restored.set(true);
            }
            case Result.Failure<Batch>(Fault fault) -> LOG.warn("event=versions_not_recalled why=\"{}\"", fault);
        }
    }

    // -- saving

    /** Starts periodic checks on a separate thread, which run until the process ends. */
    public void start() {
        RepeatedTasks.start("named-versions", CHECK_INTERVAL_MILLIS, this::check);
        // Its calls may take seconds, for which a version must not stay unsaved.
        RepeatedTasks.start("operator-history", CHECK_INTERVAL_MILLIS, history::check);
    }

    /**
     * Whether every weight version and manifest that operators published before the end of the records read is known, as
     * far as any source can tell.
     *
     * @return false while a newer one may be hidden by an older one that was written late
     */
    public boolean isHistoryExamined() {
        return history.isExamined();
    }

    /** Examines the history that was not examined when the latest records were read. */
    void checkHistory() {
        history.check();
    }

    /** Restores the saved versions when due, and saves those that are not known to be in the store. */
    void check() {
        if (!views.isOperatorLoaded()) {
            return;
        }
        checks++;
        Unsaved unsaved = views.unsaved();
        boolean anyUnsaved = !unsaved.isEmpty() || isReadToOutdated(unsaved);
        boolean savedOutdated = views.isSavedOutdated();
        WriteRole activeRole = anyUnsaved || savedOutdated ? role.get() : WriteRole.NONE;
        boolean versionsUnsaved =
                activeRole != WriteRole.NONE && !unsaved.versions().isEmpty();
        checksWithUnsaved = versionsUnsaved ? checksWithUnsaved + 1 : 0;
        boolean writerOutdated = savedOutdated && activeRole != WriteRole.NONE;
        // Another process may have saved the version with a more accurate time than this one knows.
        boolean writeDue = checksWithUnsaved == (activeRole == WriteRole.PRIMARY ? 1 : BACKUP_DELAY_CHECKS);
        boolean othersExamine = !history.isExamined() && checks % CHECKS_PER_RESTORE == 0;
        if (!restored.get() || restoreDueAfterStartup() || writerOutdated || writeDue || othersExamine) {
            restore();
        }
        if (restored.get()) {
            save(activeRole);
        }
        readMissingManifest();
    }

    /**
     * Saves what is not known to be saved. The last record states how far everything is known, if nothing before it was
     * left out or may have failed.
     */
    private void save(WriteRole activeRole) {
        Unsaved unsaved = views.unsaved();
        List<UnsavedItem> items = itemsToSave(activeRole, unsaved);
        boolean allSaved = history.isExamined() && unsaved.isCoveredBy(items);
        for (int i = 0; i < items.size(); i++) {
            boolean last = i == items.size() - 1;
            OptionalLong readTo = last && allSaved ? OptionalLong.of(unsaved.knownTo()) : OptionalLong.empty();
            allSaved &= write(items.get(i), readTo);
        }
    }

    private List<UnsavedItem> itemsToSave(WriteRole activeRole, Unsaved unsaved) {
        List<UnsavedItem> items = new ArrayList<>();
        if (activeRole == WriteRole.PRIMARY
                || activeRole == WriteRole.BACKUP && checksWithUnsaved > BACKUP_DELAY_CHECKS) {
            items.addAll(unsaved.versions());
        }
        if (activeRole == WriteRole.PRIMARY) {
            unsaved.manifest().ifPresent(items::add);
            if (items.isEmpty() && isReadToOutdated(unsaved)) {
                views.newestManifest().ifPresent(items::add);
            }
        }
        return items;
    }

    /**
     * Whether processes that start would find more history unexamined than each of them reads, because records such as
     * evacuations are not saved.
     */
    private boolean isReadToOutdated(Unsaved unsaved) {
        long savedReadTo = views.savedReadTo().orElse(0);
        return history.isExamined() && unsaved.knownTo() - savedReadTo > OperatorHistory.MAX_RECORDS;
    }

    /**
     * Tries to read a manifest that is known to be newer than the active one: at the first check at which it is
     * missing, then at the second, the fourth and so on, because it may be lost together with all processes that had
     * it.
     */
    private void readMissingManifest() {
        OptionalLong missingOffset = views.missingManifestOffset();
        checksWithoutManifest = missingOffset.isPresent() ? checksWithoutManifest + 1 : 0;
        if (missingOffset.isPresent() && Long.bitCount(checksWithoutManifest) == 1) {
            LOG.warn(
                    "event=manifest_lacking {} looks={}",
                    EraOffset.toLog(missingOffset.getAsLong()),
                    checksWithoutManifest);
            views.apply(Topic.OPERATOR, readManifest(missingOffset.getAsLong()), 0);
        }
    }

    /**
     * Returns whether the saved versions have to be read again. Another process may save a version after this process
     * has read the saved versions at startup and before it reads the operator's record, which a late write has replaced
     * in the meantime. So they are read again 0.5, 2 and 8 s after startup.
     */
    private boolean restoreDueAfterStartup() {
        return checks <= LAST_STARTUP_CHECK
                && Long.bitCount(checks) == 1
                && Long.numberOfTrailingZeros(checks) % 2 == 0;
    }

    /** Saves an item and returns whether it is known to be saved. */
    private boolean write(UnsavedItem item, OptionalLong readTo) {
        return switch (writer.write(item, readTo)) {
            case Result.Success<List<StoredRecord>>(List<StoredRecord> records) -> {
                views.apply(Topic.NAMED, records, 0);
                LOG.info(
                        "event=version_kept key={} readTo={}",
                        item.key(),
                        readTo.isPresent() ? EraOffset.offset(readTo.getAsLong()) : "-");
                yield true;
            }
            case Result.Failure<List<StoredRecord>>(Fault fault) -> {
                LOG.warn("event=version_not_kept key={} why=\"{}\"", item.key(), fault);
                yield false;
            }
        };
    }
}
