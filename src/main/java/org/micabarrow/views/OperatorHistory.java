package org.micabarrow.views;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;
import org.micabarrow.views.VersionPersistence.WriteRole;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Examines the operator records that the latest record of each key does not show. A write whose response was lost may
 * take effect after that of a newer weight version or manifest, which is then no longer the latest record. If no process
 * has saved the newer one, a process that starts learns of it only from the store's history, or, for a weight version,
 * from the origin if the history is gone. Until both have answered the latest records are used, but this process does
 * not state that nothing newer was named.
 */
final class OperatorHistory {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorHistory.class);

    /**
     * The most records that are read: manifests may have hundreds of kilobytes each, and hundreds of processes may start
     * at once. Of a longer gap only the processes that save versions read the end; the others wait until these have done
     * so.
     */
    static final long MAX_RECORDS = 8;

    /** The check at which a backup examines what no primary has. */
    private static final long BACKUP_CHECK = 10;

    /** After the first checks the origin is asked once in this many, that is every 8 s. */
    private static final long CHECKS_PER_QUESTION = 16;

    private final TopicReader reader;
    private final ViewMaintainer views;
    private final Supplier<WriteRole> role;
    private final NewestVersionSource origin;
    private final AtomicReference<Optional<Unexamined>> unexamined = new AtomicReference<>(Optional.empty());
    private volatile long checks;

    /**
     * A gap in what this process knows.
     *
     * @param gap the offsets
     * @param expired whether the store no longer has all of these records
     */
    private record Unexamined(HistoryGap gap, boolean expired) {}

    /**
     * What the store has of a gap.
     *
     * @param records the records
     * @param complete whether none is missing
     */
    private record History(List<StoredRecord> records, boolean complete) {}

    OperatorHistory(TopicReader reader, ViewMaintainer views, Supplier<WriteRole> role, NewestVersionSource origin) {
        this.reader = reader;
        this.views = views;
        this.role = role;
        this.origin = Objects.requireNonNull(origin, "origin is null");
    }

    /**
     * Whether everything that operators wrote before the end of the records read is known, as far as any source can
     * tell.
     */
    boolean isExamined() {
        return unexamined.get().isEmpty();
    }

    // -- when the latest records are read

    /**
     * Adds the records of the same keys that the latest ones replaced and that this process does not know, in order of
     * offset.
     *
     * @param latest the latest records
     * @param savedKnown whether the saved records, which state up to where others have examined the history, were read
     * @return the records to apply
     */
    Batch withReplaced(Batch latest, boolean savedKnown) {
        Optional<Unexamined> found = HistoryGap.between(latest.records(), knownTo(), latest.end())
                .flatMap(gap -> gap.after(views.savedReadTo()))
                .map(gap -> new Unexamined(gap, false));
        unexamined.set(found);
        found.ifPresent(
                open -> LOG.info("event=history_unexamined {}", open.gap().toLog()));
        return found.filter(open -> savedKnown && open.gap().size() <= MAX_RECORDS)
                .flatMap(open -> read(open.gap()))
                .map(history -> {
                    onRead(found, history);
                    return latest.withReplaced(history.records());
                })
                .orElse(latest);
    }

    /** The offset before which this process knows all records. */
    private long knownTo() {
        return unexamined.get().map(open -> open.gap().from()).orElseGet(() -> views.end(Topic.OPERATOR));
    }

    // -- later

    /** Examines what could not be examined when the latest records were read. */
    void check() {
        Optional<Unexamined> current = unexamined.get();
        if (current.isEmpty() || !views.isOperatorLoaded()) {
            checks = 0;
            return;
        }
        checks++;
        Unexamined open = current.get();
        Optional<HistoryGap> left = open.gap().after(views.savedReadTo());
        if (left.isEmpty()) {
            close(current, "saved");
        } else if (!open.expired()) {
            readLater(current, left.get());
        } else if (isOwnTurn() && isQuestionDue()) {
            askOrigin(current);
        }
    }

    private boolean isOwnTurn() {
        return switch (role.get()) {
            case PRIMARY -> true;
            case BACKUP -> checks >= BACKUP_CHECK;
            case NONE -> false;
        };
    }

    private boolean isQuestionDue() {
        return Long.bitCount(checks) == 1 || checks % CHECKS_PER_QUESTION == 0;
    }

    private void readLater(Optional<Unexamined> current, HistoryGap gap) {
        if (gap.size() <= MAX_RECORDS || isOwnTurn()) {
            read(gap).ifPresent(history -> {
                views.applyReplaced(history.records());
                onRead(current, history);
            });
        }
    }

    private void askOrigin(Optional<Unexamined> current) {
        for (String model : views.namedModels()) {
            switch (origin.newestVersion(model)) {
                case Result.Success<Long>(Long version) -> views.addConfirmedTarget(model, version);
                case Result.Failure<Long>(Fault fault) -> {
                    LOG.warn("event=newest_version_unknown model={} checks={} why=\"{}\"", model, checks, fault);
                    return;
                }
            }
        }
        close(current, "origin");
    }

    private void close(Optional<Unexamined> current, String source) {
        if (unexamined.compareAndSet(current, Optional.empty())) {
            LOG.info(
                    "event=history_examined {} from={}",
                    current.orElseThrow().gap().toLog(),
                    source);
        }
    }

    // -- the history

    private Optional<History> read(HistoryGap whole) {
        HistoryGap gap = whole.last(MAX_RECORDS);
        List<StoredRecord> records = new ArrayList<>();
        boolean complete = gap.equals(whole);
        long from = gap.from();
        while (from < gap.to()) {
            switch (reader.readHistory(Topic.OPERATOR, from)) {
                case Result.Success<Read>(Read.Records(Batch batch)) -> {
                    if (batch.end() <= from) {
                        return notRead(gap, "no record was returned");
                    }
                    batch.records().stream()
                            .filter(record -> record.offset() < gap.to())
                            .forEach(records::add);
                    from = batch.end();
                }
                case Result.Success<Read>(Read.Expired(OptionalLong first)) -> {
                    complete = false;
                    long kept = first.orElse(gap.to());
                    from = kept > from ? kept : gap.to();
                }
                case Result.Failure<Read>(Fault fault) -> {
                    return notRead(gap, fault.toString());
                }
            }
        }
        return Optional.of(new History(records, complete));
    }

    /** Logs the first, second, fourth read that fails and so on. */
    private Optional<History> notRead(HistoryGap gap, String reason) {
        if (Long.bitCount(checks) <= 1) {
            LOG.warn("event=history_not_read {} checks={} why=\"{}\"", gap.toLog(), checks, reason);
        }
        return Optional.empty();
    }

    private void onRead(Optional<Unexamined> current, History history) {
        HistoryGap gap = current.orElseThrow().gap();
        if (history.complete()) {
            close(current, "store");
        } else if (unexamined.compareAndSet(current, Optional.of(new Unexamined(gap, true)))) {
            LOG.warn(
                    "event=history_incomplete {} records={}",
                    gap.toLog(),
                    history.records().size());
        }
    }
}
