package org.micabarrow.coordination.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry's own measurements of each instance: open requests, time to the first byte, failures in a row. Written
 * by traffic threads, read by the router.
 */
public final class Traffic {

    /** The weight of the newest answer in the moving average of the time to the first byte. */
    private static final double WEIGHT_OF_NEWEST = 0.2;

    /** For how long an instance that refused for want of room counts as full, in milliseconds. */
    private static final long FULL_MILLIS = 25;

    /** After how many failures in a row an instance is left out. */
    private static final int FAILURES_TO_EJECT = 3;

    /**
     * For how long it is left out the first time, in milliseconds; it doubles with each further time.
     */
    private static final long FIRST_EJECTION_MILLIS = 2_000;

    /** The longest time for which an instance is left out, in milliseconds. */
    private static final long LONGEST_EJECTION_MILLIS = 30_000;

    private final Map<String, Record> records = new ConcurrentHashMap<>();

    /** The figures of one instance. */
    private static final class Record {
        private final AtomicInteger open = new AtomicInteger();
        private volatile double firstByteMillis;
        private int failures;
        private int ejections;
        private volatile long ejectedUntil;
        private volatile long fullUntil;
    }

    private Record record(String instance) {
        return records.computeIfAbsent(instance, key -> new Record());
    }

    /**
     * Counts a request that is sent.
     *
     * @param instance where to
     */
    public void opened(String instance) {
        record(instance).open.incrementAndGet();
    }

    /**
     * Counts a request that has ended.
     *
     * @param instance where it was
     */
    public void closed(String instance) {
        record(instance).open.decrementAndGet();
    }

    /**
     * Notes that an answer has begun.
     *
     * @param instance where
     * @param millis the time since it was sent
     */
    public void began(String instance, long millis) {
        Record record = record(instance);
        synchronized (record) {
            record.failures = 0;
            record.ejections = 0;
            double before = record.firstByteMillis;
            record.firstByteMillis = before == 0 ? millis : before * (1 - WEIGHT_OF_NEWEST) + millis * WEIGHT_OF_NEWEST;
        }
    }

    /**
     * Notes that an instance failed a request.
     *
     * @param instance where
     * @param nowMillis the time
     */
    public void failed(String instance, long nowMillis) {
        Record record = record(instance);
        synchronized (record) {
            record.failures++;
            if (record.failures >= FAILURES_TO_EJECT) {
                long millis = FIRST_EJECTION_MILLIS << Math.min(record.ejections, 10);
                record.ejectedUntil = nowMillis + Math.min(LONGEST_EJECTION_MILLIS, millis);
                record.ejections++;
                record.failures = 0;
            }
        }
    }

    /**
     * The requests open at an instance.
     *
     * @param instance the instance
     * @return their number
     */
    public int open(String instance) {
        Record record = records.get(instance);
        return record == null ? 0 : record.open.get();
    }

    /**
     * The usual time until an answer begins.
     *
     * @param instance the instance
     * @return milliseconds, 0 while nothing is known
     */
    public double firstByteMillis(String instance) {
        Record record = records.get(instance);
        return record == null ? 0 : record.firstByteMillis;
    }

    /**
     * Whether an instance is left out for its failures.
     *
     * @param instance the instance
     * @param nowMillis the time
     * @return true while it is ejected
     */
    public boolean ejected(String instance, long nowMillis) {
        Record record = records.get(instance);
        return record != null && record.ejectedUntil > nowMillis;
    }

    /**
     * Notes that an instance refused a request because it is full.
     *
     * @param instance the instance
     * @param nowMillis the time
     */
    public void full(String instance, long nowMillis) {
        record(instance).fullUntil = nowMillis + FULL_MILLIS;
    }

    /**
     * Whether an instance has just said that it is full.
     *
     * @param instance the instance
     * @param nowMillis the time
     * @return true for a short while after {@link #full}
     */
    public boolean isFull(String instance, long nowMillis) {
        Record record = records.get(instance);
        return record != null && record.fullUntil > nowMillis;
    }
}
