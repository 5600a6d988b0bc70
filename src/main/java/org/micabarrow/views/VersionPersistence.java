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
 * Keeps in the store which weight versions were named and when, one key a version, and where the newest manifest stands, and
 * recalls them at the start. The operator's own
 * record of a model does not tell this: a write that got no answer may be done seconds later, after the write of a newer
 * version, so that the newest record names an older version. A set of keys is the same in whatever order and however often its
 * members are written. Guards against endpoints that take up, and go on answering by, an older version after every process has
 * started again, and against processes that start with an older manifest than the others go by.
 */
public final class VersionPersistence implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(VersionPersistence.class);

    /**
     * The pause between two looks, in milliseconds: a version is written half a second after it is known, and a store that does
     * not answer is asked twice a second.
     */
    private static final long LOOK_MILLIS = 500;

    /** The last look after the start at which the versions are read again: a write comes up to 6 s late. */
    private static final long LAST_LOOK_AFTER_START = 16;

    /** How many looks a process waits for those that are to write: 5 s. They may be cut off or gone, and still be listed. */
    private static final long LOOKS_FOR_OTHERS = 10;

    private final TopicReader reader;
    private final VersionWriter writer;
    private final ViewMaintainer keeper;
    private final Supplier<Duty> duty;
    private final Runnable askPeer;
    private final AtomicBoolean recalled = new AtomicBoolean();
    private long looks;
    private long looksMissing;
    private long looksLacking;

    /** What a process does for the versions that it knows of; each costs calls of the store. */
    public enum Duty {
        /** Writes them at once: a few processes are enough. */
        WRITES,
        /** Writes them if nobody else has after a while: those that are to may be cut off or gone. */
        STANDS_IN,
        /** Leaves them to others. */
        NONE
    }

    /** Writes a version where {@link Topic#NAMED} is read from. */
    @FunctionalInterface
    public interface VersionWriter {

        /**
         * Writes that a version was named, and drops keys that are of use no more. May be done any number of times.
         *
         * @param unkept the version
         * @return the records as they lie in the topic, or why they may not lie there
         */
        Result<List<StoredRecord>> write(UnsavedItem unkept);
    }

    /**
     * Keeps the named versions of a process that has no peers.
     *
     * @param reader reads the store
     * @param writer writes versions
     * @param keeper knows which versions were named
     * @param writes whether this process is to write, else it stands in
     */
    public VersionPersistence(TopicReader reader, VersionWriter writer, ViewMaintainer keeper, BooleanSupplier writes) {
        this(reader, writer, keeper, () -> writes.getAsBoolean() ? Duty.WRITES : Duty.STANDS_IN, () -> {});
    }

    /**
     * Keeps the named versions of a process.
     *
     * @param reader reads the store
     * @param writer writes versions
     * @param keeper knows which versions were named
     * @param duty what this process does for the versions
     * @param askPeer asks a peer for what operators wrote, from {@link ViewMaintainer#askFrom} on
     */
    public VersionPersistence(
            TopicReader reader, VersionWriter writer, ViewMaintainer keeper, Supplier<Duty> duty, Runnable askPeer) {
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.duty = Objects.requireNonNull(duty, "duty is null");
        this.askPeer = Objects.requireNonNull(askPeer, "askPeer is null");
    }

    // -- reading

    /** Reads the newest records; before those of operators, which may name an older version, the versions are recalled. */
    @Override
    public Result<Batch> newest(Topic topic) {
        if (topic != Topic.OPERATOR) {
            return reader.newest(topic);
        }
        recalled.set(false);
        recall();
        return reader.newest(topic).map(this::withHiddenManifest).map(this::asFarAsRecalled);
    }

    /** Adds the newest manifest if it is not among the newest records, since an older one was written after it. */
    private Batch withHiddenManifest(Batch batch) {
        OptionalLong kept = keeper.lackingManifest();
        if (kept.isEmpty() || batch.records().stream().anyMatch(record -> record.offset() == kept.getAsLong())) {
            return batch;
        }
        List<StoredRecord> records = new ArrayList<>(batch.records());
        records.addAll(hidden(kept.getAsLong()));
        return new Batch(records, batch.end(), batch.asOfMillis());
    }

    /** The manifest at an offset, from the store's history; a peer is asked for it if the history is gone. */
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

    /** While it is not known what is kept, a newer manifest may be hidden: the records tell of no moment up to which all is known. */
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

    // -- keeping

    /** Looks again and again, on a thread of its own, for as long as the process runs. */
    public void start() {
        RepeatedTasks.start("named-versions", LOOK_MILLIS, this::look);
    }

    /** Recalls the versions when it is time to, and writes those that are not known to lie in the store. */
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
     * Looks for a manifest that is known to be newer than the one in force: at the first look that lacks it, then at the second,
     * the fourth and so on, since it may be gone with all that knew it.
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
     * A version may be kept after a process that starts has read what is kept, and before it reads the operator's record, which a
     * late write replaced meanwhile. So it is read again 0.5, 2 and 8 s after the start.
     */
    private boolean soonAfterStart() {
        return looks <= LAST_LOOK_AFTER_START
                && Long.bitCount(looks) == 1
                && Long.numberOfTrailingZeros(looks) % 2 == 0;
    }

    private void write(UnsavedItem unkept) {
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
