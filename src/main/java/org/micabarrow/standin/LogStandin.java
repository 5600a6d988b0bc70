package org.micabarrow.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.micabarrow.protocol.PlatformMessages;

/** In-memory append-only log with several streams, each with its own offsets. */
public final class LogStandin {

    private static final int MAX_PAGE_RECORDS = 500;

    private final Map<String, Stream> streams = new ConcurrentHashMap<>();

    /** The retained records of a stream and its next offset. */
    private static final class Stream {
        private final ArrayDeque<PlatformMessages.LogEntry> records = new ArrayDeque<>();
        private long nextOffset;
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, key -> new Stream());
    }

    /**
     * Appends a record.
     *
     * @param name the stream
     * @param body the record
     * @return its offset
     */
    public long append(String name, byte[] body) {
        Stream stream = stream(name);
        synchronized (stream) {
            long offset = stream.nextOffset++;
            stream.records.addLast(new PlatformMessages.LogEntry(offset, System.currentTimeMillis(), body));
            stream.notifyAll();
            return offset;
        }
    }

    /**
     * Reads a page.
     *
     * @param name the stream
     * @param from the first offset to return
     * @param waitMillis maximum time to wait for a record, in milliseconds
     * @return the page
     * @throws InterruptedException if the thread is interrupted
     */
    public PlatformMessages.LogPage read(String name, long from, long waitMillis) throws InterruptedException {
        Stream stream = stream(name);
        synchronized (stream) {
            long deadlineMillis = System.currentTimeMillis() + waitMillis;
            long remainingMillis = waitMillis;
            while (stream.nextOffset <= from && remainingMillis > 0) {
                stream.wait(remainingMillis);
                remainingMillis = deadlineMillis - System.currentTimeMillis();
            }
            List<PlatformMessages.LogEntry> page = new ArrayList<>();
            for (PlatformMessages.LogEntry entry : stream.records) {
                if (entry.offset() >= from && page.size() < MAX_PAGE_RECORDS) {
                    page.add(entry);
                }
            }
            long first = stream.records.isEmpty()
                    ? stream.nextOffset
                    : stream.records.getFirst().offset();
            return new PlatformMessages.LogPage(first, page);
        }
    }

    /**
     * Drops the oldest records of a stream.
     *
     * @param name the stream
     * @param count how many of the newest records are retained
     */
    public void retainNewest(String name, int count) {
        Stream stream = stream(name);
        synchronized (stream) {
            while (stream.records.size() > count) {
                stream.records.removeFirst();
            }
        }
    }
}
