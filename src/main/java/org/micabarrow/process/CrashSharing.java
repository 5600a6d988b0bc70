package org.micabarrow.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.platform.CrashRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.steps.RepeatedTasks;
import org.micabarrow.views.StoredRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares detected crashes through the platform's store: writes those that this process detected and applies those of all processes,
 * including those written before this one started. A crash causes one write of each process that had requests at the endpoint.
 */
final class CrashSharing {

    private static final Logger LOG = LoggerFactory.getLogger(CrashSharing.class);

    /** The interval between writes, in milliseconds: updates that arrive in between are written in one call. */
    private static final long WRITE_INTERVAL_MILLIS = 50;

    /** The delay after a failed write, in milliseconds; the same as after a failed read. */
    private static final long RETRY_MILLIS = 300;

    /** The interval between removals of outdated records, in milliseconds. */
    private static final long CLEANUP_INTERVAL_MILLIS = 10_000;

    /** The maximum number of records in one call: with 256 digests and 1,024 parts each, half of the store's limit. */
    private static final int MAX_RECORDS_PER_CALL = 50;

    /**
     * The maximum number of records that wait while the store is unavailable, and of those that are kept to be written
     * again; the oldest are dropped first.
     */
    private static final int MAX_RECORDS = 1_000;

    private final CrashRecords records;
    private final CrashRegistry registry;
    private final long memoryMillis;
    private final LongSupplier steadyMillis;
    private final LongSupplier unixMillis;
    private final Map<String, StoredRecord> waiting = new LinkedHashMap<>();

    /** The records of this process that others may still need, by key. */
    private final Map<String, StoredRecord> own = new LinkedHashMap<>();

    /** When each record in the store was written, by key. */
    private final Map<String, Long> storedAtMillis = new LinkedHashMap<>();

    /**
     * When the records that were applied were written, by key. A restored store gives records out again, and a clearing
     * that is applied once more would clear crashes that followed it.
     */
    private final Map<String, Set<Long>> appliedMillis = new LinkedHashMap<>();

    CrashSharing(
            CrashRecords records,
            CrashRegistry registry,
            long memoryMillis,
            LongSupplier steadyMillis,
            LongSupplier unixMillis) {
        this.records = records;
        this.registry = registry;
        this.memoryMillis = memoryMillis;
        this.steadyMillis = steadyMillis;
        this.unixMillis = unixMillis;
    }

    /** Starts the threads that write records and remove outdated ones. */
    void start() {
        RepeatedTasks.start("crash-updates", WRITE_INTERVAL_MILLIS, this::write);
        RepeatedTasks.start("crash-cleanup", CLEANUP_INTERVAL_MILLIS, this::cleanUp);
    }

    // -- writing

    /** Queues an update for the other processes. Does not block on the store. */
    synchronized void publish(CrashUpdate update) {
        StoredRecord record = records.record(update, unixMillis.getAsLong());
        own.put(record.key(), record);
        limit(own);
        put(record);
    }

    private synchronized void put(StoredRecord record) {
        waiting.remove(record.key());
        waiting.put(record.key(), record);
        limit(waiting);
        notifyAll();
    }

    /** Drops the oldest record if there are too many. */
    private static void limit(Map<String, StoredRecord> byKey) {
        if (byKey.size() > MAX_RECORDS) {
            byKey.remove(byKey.keySet().iterator().next());
        }
    }

    private void write() throws InterruptedException {
        List<StoredRecord> next = next();
        if (records.write(next) instanceof Result.Failure<List<StoredRecord>>(Fault fault)) {
            LOG.warn("event=crashes_not_told records={} why=\"{}\"", next.size(), fault);
            putBack(next);
            Thread.sleep(RETRY_MILLIS);
        }
    }

    private synchronized List<StoredRecord> next() throws InterruptedException {
        while (waiting.isEmpty()) {
            wait();
        }
        List<StoredRecord> next =
                waiting.values().stream().limit(MAX_RECORDS_PER_CALL).toList();
        next.forEach(record -> waiting.remove(record.key()));
        return next;
    }

    /** A write without an answer may have taken effect; repeating it changes nothing. */
    private synchronized void putBack(List<StoredRecord> failed) {
        failed.forEach(record -> waiting.putIfAbsent(record.key(), record));
    }

    // -- reading

    /** Applies records read from the store. */
    synchronized void apply(List<StoredRecord> batch) {
        batch.stream().sorted(Comparator.comparingLong(StoredRecord::offset)).forEach(this::apply);
    }

    private void apply(StoredRecord record) {
        if (record.isTombstone()) {
            applyTombstone(record.key());
            return;
        }
        switch (CrashRecords.read(record)) {
            case Result.Success<CrashRecords.DatedUpdate>(CrashRecords.DatedUpdate dated) -> {
                storedAtMillis.put(record.key(), dated.unixMillis());
                long age = Math.clamp(unixMillis.getAsLong() - dated.unixMillis(), 0, memoryMillis);
                boolean applied = !appliedMillis
                        .computeIfAbsent(record.key(), key -> new HashSet<>())
                        .add(dated.unixMillis());
                if (age < memoryMillis && !applied) {
                    registry.apply(dated.update(), steadyMillis.getAsLong() - age);
                }
            }
            case Result.Failure<CrashRecords.DatedUpdate>(Fault fault) ->
                LOG.warn("event=crash_record_refused key={} why=\"{}\"", record.loggableKey(), fault.message());
        }
    }

    /** A record that is still needed is deleted only where the store has lost it. Its writer writes it again. */
    private void applyTombstone(String key) {
        storedAtMillis.remove(key);
        Optional.ofNullable(own.get(key)).ifPresent(lost -> {
            LOG.info("event=crash_told_again key={}", lost.loggableKey());
            put(lost);
        });
    }

    // -- cleanup

    /** Forgets expired crashes, and deletes records from the store that no other process has deleted after twice that time. */
    private void cleanUp() {
        registry.expire(steadyMillis.getAsLong());
        forgetOutdated();
        outdated().forEach(key -> put(CrashRecords.tombstone(key)));
    }

    private synchronized void forgetOutdated() {
        long oldest = unixMillis.getAsLong() - memoryMillis;
        own.values()
                .removeIf(record -> CrashRecords.read(record)
                        .toOptional()
                        .filter(dated -> dated.unixMillis() >= oldest)
                        .isEmpty());
        appliedMillis.values().removeIf(written -> written.stream().allMatch(millis -> millis < oldest));
    }

    private synchronized List<String> outdated() {
        long oldest = unixMillis.getAsLong() - 2 * memoryMillis;
        List<String> outdated = new ArrayList<>();
        storedAtMillis.forEach((key, writtenMillis) -> {
            if (writtenMillis < oldest) {
                outdated.add(key);
            }
        });
        return outdated;
    }
}
