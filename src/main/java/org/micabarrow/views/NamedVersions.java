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
import org.micabarrow.steps.Steps;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Saves named weight versions, the time at which they were named, and the position of the newest manifest in the store,
 * each under its own key, and restores them at startup. The operator's own record of a model is not sufficient: a write
 * whose response was lost may take effect seconds later, after the write of a newer version, so that the latest record
 * names an older version. A set of keys ends up the same regardless of the order and number of writes. This prevents
 * endpoints from loading an older version and serving it after all processes have restarted, and prevents processes
 * from starting with an older manifest than the others use.
 */
public final class NamedVersions implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(NamedVersions.class);

    /**
     * The pause between two checks, in milliseconds: a version is saved half a second after it becomes known, and an
     * unresponsive store is tried twice a second.
     */
    private static final long LOOK_MILLIS = 500;

    /**
     * The number of the last check after startup at which the saved versions are read again: a write may take effect up
     * to 6 s late.
     */
    private static final long LAST_LOOK_AFTER_START = 16;

    /**
     * How many checks a backup waits for the primary writers: 5 s. A primary may be disconnected or gone and still be
     * listed.
     */
    private static final long LOOKS_FOR_OTHERS = 10;

    private final TopicReader reader;
    private final VersionWriter writer;
    private final ViewKeeper keeper;
    private final Supplier<Duty> duty;
    private final Runnable askPeer;
    private final AtomicBoolean recalled = new AtomicBoolean();
    private long looks;
    private long looksMissing;
    private long looksLacking;

    /** Whether a process saves the versions that it knows. Every write costs calls to the store. */
    public enum Duty {
        /** Saves versions at once. A few such processes are sufficient. */
        WRITES,
        /**
         * Saves versions if no other process has done so after a while: the primary writers may be disconnected or
         * gone.
         */
        STANDS_IN,
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
         * @return the records as stored in the topic, or why they may not have been stored
         */
        Result<List<StoredRecord>> write(Unkept unkept);
    }

    /**
     * Creates an instance for a process without peers.
     *
     * @param reader reads the store
     * @param writer saves versions
     * @param views knows which versions were named
     * @param primary whether this process is a primary writer; otherwise it is a backup
     */
    public NamedVersions(TopicReader reader, VersionWriter writer, ViewKeeper keeper, BooleanSupplier writes) {
        this(reader, writer, keeper, () -> writes.getAsBoolean() ? Duty.WRITES : Duty.STANDS_IN, () -> {});
    }

    /**
     * Creates an instance.
     *
     * @param reader reads the store
     * @param writer saves versions
     * @param views knows which versions were named
     * @param role whether this process saves versions
     * @param requestFromPeer requests operator records from a peer, starting at {@link ViewMaintainer#peerReadOffset}
     */
    public NamedVersions(
            TopicReader reader, VersionWriter writer, ViewKeeper keeper, Supplier<Duty> duty, Runnable askPeer) {
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.duty = Objects.requireNonNull(duty, "duty is null");
        this.askPeer = Objects.requireNonNull(askPeer, "askPeer is null");
    }

    // -- reading

    /**
     * Reads the latest records. Before operator records are read, which may name an older version, the saved versions
     * are restored.
     */
    @Override
    public Result<Batch> newest(Topic topic) {
        if (topic != Topic.OPERATOR) {
            return reader.newest(topic);
        }
        recalled.set(false);
        recall();
        return reader.newest(topic).map(this::withHiddenManifest).map(this::asFarAsRecalled);
    }

    /** Adds the newest manifest if it is missing from the latest records because an older one was written after it. */
    private Batch withHiddenManifest(Batch batch) {
        OptionalLong kept = keeper.lackingManifest();
        if (kept.isEmpty() || batch.records().stream().anyMatch(record -> record.offset() == kept.getAsLong())) {
            return batch;
        }
        List<StoredRecord> records = new ArrayList<>(batch.records());
        records.addAll(hidden(kept.getAsLong()));
        return new Batch(records, batch.end(), batch.asOfMillis());
    }

    /**
     * Returns the manifest at an offset from the store's history, or requests it from a peer if it is no longer in the
     * history.
     */
    private List<StoredRecord> hidden(long offset) {
        List<StoredRecord> found = history(offset);
        if (found.isEmpty()) {
            askPeer.run();
        }
        return found;
    }

    private List<StoredRecord> history(long offset) {
        return switch (reader.history(Topic.OPERATOR, offset)) {
            case Result.Success<Read>(Read.Records(Batch batch)) ->
                batch.records().stream()
                        .filter(record -> record.offset() == offset)
                        .toList();
            case Result.Success<Read>(Read.Expired ignored) -> List.of();
            case Result.Failure<Read>(Fault fault) -> {
                LOG.info("event=manifest_not_in_history offset={} why=\"{}\"", offset, fault);
                yield List.of();
            }
        };
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        return reader.read(topic, from, wait).map(this::asFarAsRecalled);
    }

    @Override
    public Result<Read> history(Topic topic, long from) {
        return reader.history(topic, from);
    }

    /**
     * Removes the timestamp up to which all records are known while the saved items have not been read: a newer
     * manifest may have been replaced by an older one.
     */
    private Read asFarAsRecalled(Read read) {
        return switch (read) {
            case Read.Records(Batch batch) -> new Read.Records(asFarAsRecalled(batch));
            case Read.Expired expired -> expired;
        };
    }

    private Batch asFarAsRecalled(Batch batch) {
        return recalled.get() ? batch : new Batch(batch.records(), batch.end());
    }

    @Override
    public boolean peersTell(Topic topic) {
        return reader.peersTell(topic);
    }

    private void recall() {
        switch (reader.newest(Topic.NAMED)) {
            case Result.Success<Batch>(Batch batch) -> {
                keeper.replace(Topic.NAMED, batch.records(), batch.end());
                recalled.set(true);
            }
            case Result.Failure<Batch>(Fault fault) -> LOG.warn("event=versions_not_recalled why=\"{}\"", fault);
        }
    }

    // -- saving

    /** Starts periodic checks on a separate thread, which run until the process ends. */
    public void start() {
        Steps.start("named-versions", LOOK_MILLIS, this::look);
    }

    /** Restores the saved versions when due, and saves those that are not known to be in the store. */
    void look() {
        if (!keeper.knowsOperator()) {
            return;
        }
        looks++;
        boolean anyUnkept =
                !keeper.unkept().isEmpty() || keeper.unkeptManifest().isPresent();
        Duty now = anyUnkept ? duty.get() : Duty.NONE;
        boolean missing = now != Duty.NONE && !keeper.unkept().isEmpty();
        looksMissing = missing ? looksMissing + 1 : 0;
        if (!recalled.get() || soonAfterStart() || looksMissing == LOOKS_FOR_OTHERS) {
            recall();
        }
        if (recalled.get()) {
            keep(now);
        }
        regainManifest();
    }

    private void keep(Duty now) {
        if (now == Duty.WRITES || now == Duty.STANDS_IN && looksMissing > LOOKS_FOR_OTHERS) {
            keeper.unkept().forEach(this::write);
        }
        if (now == Duty.WRITES) {
            keeper.unkeptManifest().ifPresent(this::write);
        }
    }

    /**
     * Tries to read a manifest that is known to be newer than the active one: at the first check at which it is
     * missing, then at the second, the fourth and so on, because it may be lost together with all processes that had
     * it.
     */
    private void regainManifest() {
        OptionalLong lacking = keeper.lackingManifest();
        looksLacking = lacking.isPresent() ? looksLacking + 1 : 0;
        if (lacking.isPresent() && Long.bitCount(looksLacking) == 1) {
            LOG.warn("event=manifest_lacking offset={} looks={}", lacking.getAsLong(), looksLacking);
            keeper.apply(Topic.OPERATOR, hidden(lacking.getAsLong()), 0);
        }
    }

    /**
     * Returns whether the saved versions have to be read again. Another process may save a version after this process
     * has read the saved versions at startup and before it reads the operator's record, which a late write has replaced
     * in the meantime. So they are read again 0.5, 2 and 8 s after startup.
     */
    private boolean soonAfterStart() {
        return looks <= LAST_LOOK_AFTER_START
                && Long.bitCount(looks) == 1
                && Long.numberOfTrailingZeros(looks) % 2 == 0;
    }

    private void write(Unkept unkept) {
        switch (writer.write(unkept)) {
            case Result.Success<List<StoredRecord>>(List<StoredRecord> records) -> {
                keeper.apply(Topic.NAMED, records, 0);
                LOG.info("event=version_kept key={}", unkept.key());
            }
            case Result.Failure<List<StoredRecord>>(Fault fault) ->
                LOG.warn("event=version_not_kept key={} why=\"{}\"", unkept.key(), fault);
        }
    }
}
