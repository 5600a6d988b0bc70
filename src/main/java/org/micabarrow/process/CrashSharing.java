package org.micabarrow.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * Shares what is known of crashes through the platform's store: writes what this process noticed, and takes what all processes wrote,
 * also what was written before this one started. A crash costs one write of each process that had requests there.
 */
final class CrashSharing {

    private static final Logger LOG = LoggerFactory.getLogger(CrashSharing.class);

    /** The rest between writes, in milliseconds: what comes meanwhile goes into one call, and a store that refuses is asked again. */
    private static final long WRITE_REST_MILLIS = 50;

    /** The rest after a write that failed, in milliseconds, as after a read that did. */
    private static final long AGAIN_MILLIS = 300;

    /** The rest between looks for what is of use no more, in milliseconds. */
    private static final long TIDY_REST_MILLIS = 10_000;

    /** The most records in one call: with 256 digests each, well under what the store takes at once. */
    private static final int MOST_A_CALL = 50;

    /** The most records that wait while the store does not answer; the oldest go first. */
    private static final int MOST_WAITING = 1_000;

    private final CrashRecords records;
    private final CrashRegistry book;
    private final long memoryMillis;
    private final LongSupplier steadyMillis;
    private final LongSupplier unixMillis;
    private final Map<String, StoredRecord> waiting = new LinkedHashMap<>();

    /** When what lies in the store was written, by its key. */
    private final Map<String, Long> lying = new LinkedHashMap<>();

    CrashSharing(
            CrashRecords records,
            CrashRegistry book,
            long memoryMillis,
            LongSupplier steadyMillis,
            LongSupplier unixMillis) {
        this.records = records;
        this.book = book;
        this.memoryMillis = memoryMillis;
        this.steadyMillis = steadyMillis;
        this.unixMillis = unixMillis;
    }

    /** Begins to write, and to tidy up. */
    void start() {
        RepeatedTasks.start("crash-news", WRITE_REST_MILLIS, this::write);
        RepeatedTasks.start("crash-tidying", TIDY_REST_MILLIS, this::tidy);
    }

    // -- writing

    /** Tells the other processes; whoever calls never waits. */
    synchronized void tell(CrashUpdate news) {
        put(records.record(news, unixMillis.getAsLong()));
    }

    private synchronized void put(StoredRecord record) {
        waiting.remove(record.key());
        waiting.put(record.key(), record);
        if (waiting.size() > MOST_WAITING) {
            waiting.remove(waiting.keySet().iterator().next());
        }
        notifyAll();
    }

    private void write() throws InterruptedException {
        List<StoredRecord> next = next();
        if (records.write(next) instanceof Result.Failure<List<StoredRecord>>(Fault fault)) {
            LOG.warn("event=crashes_not_told records={} why=\"{}\"", next.size(), fault);
            putBack(next);
            Thread.sleep(AGAIN_MILLIS);
        }
    }

    private synchronized List<StoredRecord> next() throws InterruptedException {
        while (waiting.isEmpty()) {
            wait();
        }
        List<StoredRecord> next = waiting.values().stream().limit(MOST_A_CALL).toList();
        next.forEach(record -> waiting.remove(record.key()));
        return next;
    }

    /** A write without an answer may have been done; done once more it changes nothing. */
    private synchronized void putBack(List<StoredRecord> failed) {
        failed.forEach(record -> waiting.putIfAbsent(record.key(), record));
    }

    // -- reading

    /** Takes what lies in the store. */
    synchronized void take(List<StoredRecord> news) {
        news.stream().sorted(Comparator.comparingLong(StoredRecord::offset)).forEach(this::take);
    }

    private void take(StoredRecord record) {
        if (record.isTombstone()) {
            lying.remove(record.key());
            return;
        }
        switch (CrashRecords.read(record)) {
            case Result.Success<CrashRecords.Told>(CrashRecords.Told told) -> {
                lying.put(record.key(), told.unixMillis());
                long age = Math.clamp(unixMillis.getAsLong() - told.unixMillis(), 0, memoryMillis);
                if (age < memoryMillis) {
                    book.apply(told.news(), steadyMillis.getAsLong() - age);
                }
            }
            case Result.Failure<CrashRecords.Told>(Fault fault) ->
                LOG.warn("event=crash_record_refused key={} why=\"{}\"", record.loggableKey(), fault.message());
        }
    }

    // -- tidying

    /** Forgets what is too old, and drops it from the store if nobody else has after as long again. */
    private void tidy() {
        book.expire(steadyMillis.getAsLong());
        outdated().forEach(key -> put(CrashRecords.dropping(key)));
    }

    private synchronized List<String> outdated() {
        long oldest = unixMillis.getAsLong() - 2 * memoryMillis;
        List<String> outdated = new ArrayList<>();
        lying.forEach((key, writtenMillis) -> {
            if (writtenMillis < oldest) {
                outdated.add(key);
            }
        });
        return outdated;
    }
}
