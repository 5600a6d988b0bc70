package org.micabarrow.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.micabarrow.protocol.PlatformMessages;

/** An append-only log with offsets, in memory. */
public final class LogStandin {

    private static final int MAX_PAGE_RECORDS = 500;

    private final Map<String, Stream> streams = new ConcurrentHashMap<>();

    /** One stream. */
    private static final class Stream {
        private final ArrayDeque<PlatformMessages.LogEntry> records = new ArrayDeque<>();
        private long next;
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
            long offset = stream.next++;
            stream.records.addLast(new PlatformMessages.LogEntry(offset, System.currentTimeMillis(), body));
            stream.notifyAll();
            return offset;
        }
    }

    /**
     * Reads a page.
     *
     * @param name the stream
     * @param from the first offset wanted
     * @param waitMillis how long to wait for a record
     * @return the page
     * @throws InterruptedException if the thread is interrupted
     */
    public PlatformMessages.LogPage read(String name, long from, long waitMillis) throws InterruptedException {
        Stream stream = stream(name);
        synchronized (stream) {
            long end = System.currentTimeMillis() + waitMillis;
            long left = waitMillis;
            while (stream.next <= from && left > 0) {
                stream.wait(left);
                left = end - System.currentTimeMillis();
            }
            List<PlatformMessages.LogEntry> page = new ArrayList<>();
            for (PlatformMessages.LogEntry entry : stream.records) {
                if (entry.offset() >= from && page.size() < MAX_PAGE_RECORDS) {
                    page.add(entry);
                }
            }
            long first = stream.records.isEmpty()
                    ? stream.next
                    : stream.records.getFirst().offset();
            return new PlatformMessages.LogPage(first, page);
        }
    }

    /**
     * Lets old records go.
     *
     * @param name the stream
     * @param kept how many of the newest are kept
     */
    public void retain(String name, int kept) {
        Stream stream = stream(name);
        synchronized (stream) {
            while (stream.records.size() > kept) {
                stream.records.removeFirst();
            }
        }
    }
}
