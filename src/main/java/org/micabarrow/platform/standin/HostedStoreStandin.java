package org.micabarrow.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.micabarrow.platform.KeyedRecords;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.views.StoredRecord;

/**
 * Simulated store of the users' platform: keyed topics that support reads from an offset and listing the newest record
 * per key. Supports fault injection. Thread-safe.
 */
public final class HostedStoreStandin implements HttpHandler {

    private static final int OK = 200;
    private static final HttpString ERA = new HttpString("Store-Era");
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    /** Polling interval of long-poll reads, in milliseconds; short compared to their usual wait of about a second. */
    private static final long POLL_MILLIS = 5;

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Integer> firstRetainedOffsets = new HashMap<>();
    private final Map<String, Integer> deliveredCounts = new HashMap<>();
    private final Map<String, List<Entry>> lost = new HashMap<>();
    private int pageSize = 500;
    private long era;
    private long callCount;
    private Optional<Integer> refusalStatus = Optional.empty();
    private boolean unresponsive;

    /** A record: its key, its value, and its encoded form in read responses. */
    private record Entry(String key, byte[] value, byte[] raw) {

        private static Entry of(String key, byte[] value) {
            return new Entry(key, value, KeyedRecords.record(key, value));
        }
    }

    // -- control by tests

    /**
     * Appends a record.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value; an empty value deletes the key
     * @return the record's offset
     */
    public synchronized long append(String topic, String key, String value) {
        return append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Appends a record with a binary value.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value's bytes
     * @return the record's offset
     */
    public synchronized long append(String topic, String key, byte[] value) {
        return append(topic, Entry.of(key, value));
    }

    /**
     * Appends arbitrary bytes as a record, which need not encode a key and a value.
     *
     * @param topic the topic
     * @param raw the bytes of the record
     * @return the record's offset
     */
    public synchronized long appendRaw(String topic, byte[] raw) {
        return append(topic, new Entry("", new byte[0], raw));
    }

    private long append(String topic, Entry entry) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        entries.add(entry);
        return entries.size() - 1L;
    }

    /**
     * Returns whether a key was ever written to a topic.
     *
     * @param topic the topic
     * @param key the key
     * @return true if the topic has a record with the key, including deletions
     */
    public synchronized boolean containsKey(String topic, String key) {
        return topics.getOrDefault(topic, List.of()).stream()
                .anyMatch(entry -> entry.key().equals(key));
    }

    /**
     * Counts the keys of a topic with a prefix.
     *
     * @param topic the topic
     * @param prefix the prefix
     * @return the number of keys, including deleted ones
     */
    public synchronized int countKeys(String topic, String prefix) {
        return (int) topics.getOrDefault(topic, List.of()).stream()
                .map(Entry::key)
                .filter(key -> key.startsWith(prefix))
                .distinct()
                .count();
    }

    /**
     * Returns how many records were delivered to reads of a topic, counting repeated deliveries.
     *
     * @param topic the topic
     * @return the number
     */
    public synchronized int deliveredCount(String topic) {
        return deliveredCounts.getOrDefault(topic, 0);
    }

    /**
     * Drops the history of a topic, so that older offsets can no longer be read. The newest record of each key can
     * still be listed.
     *
     * @param topic the topic
     */
    public synchronized void dropHistory(String topic) {
        firstRetainedOffsets.put(topic, topics.getOrDefault(topic, List.of()).size());
    }

    /**
     * Answers every call with a status, including pending long-poll reads.
     *
     * @param status the status; empty to respond normally
     */
    public synchronized void setRefusalStatus(Optional<Integer> status) {
        refusalStatus = status;
    }

    /**
     * Sets whether calls, including pending long-poll reads, are left without an answer.
     *
     * @param enabled whether to leave calls unanswered
     */
    public synchronized void setUnresponsive(boolean enabled) {
        unresponsive = enabled;
    }

    /**
     * Sets the page size of listings of newest records.
     *
     * @param size the maximum number of records per page
     */
    public synchronized void setPageSize(int size) {
        pageSize = size;
    }

    /**
     * Continues from an older copy, as after a restore: the newest records of each topic are lost, their offsets are
     * given out again, and the era rises.
     *
     * @param lostCounts how many records each topic loses; topics that are not listed lose none
     */
    public synchronized void restore(Map<String, Integer> lostCounts) {
        lostCounts.forEach((topic, count) -> {
            List<Entry> entries = topics.getOrDefault(topic, new ArrayList<>());
            List<Entry> newest = entries.subList(Math.max(0, entries.size() - count), entries.size());
            lost.put(topic, List.copyOf(newest));
            newest.clear();
        });
        era++;
    }

    /**
     * Writes the records of a topic again that the last restore lost, as operators and endpoints do.
     *
     * @param topic the topic
     */
    public synchronized void writeAgain(String topic) {
        lost.getOrDefault(topic, List.of()).forEach(entry -> append(topic, entry));
        lost.remove(topic);
    }

    /**
     * Returns how many records a topic holds.
     *
     * @param topic the topic
     * @return the number, including replaced and deleted ones
     */
    public synchronized int recordCount(String topic) {
        return topics.getOrDefault(topic, List.of()).size();
    }

    /**
     * Returns how many calls have arrived.
     *
     * @return the number, including those that were refused or left unanswered
     */
    public synchronized long callCount() {
        return callCount;
    }

    // -- request handling

    @Override
    public synchronized void handleRequest(HttpServerExchange exchange) {
        callCount++;
        if (applyFault(exchange)) {
            return;
        }
        String topic = StandinCalls.parameter(exchange, "topic").orElse("");
        switch (exchange.getRequestPath()) {
            case "/api/log-newest" -> listNewest(exchange, topic);
            case "/api/log-read" -> {
                int from = Integer.parseInt(
                        StandinCalls.parameter(exchange, "from").orElse("0"));
                long hold = Long.parseLong(
                        StandinCalls.parameter(exchange, "wait_ms").orElse("0"));
                read(exchange, topic, from, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(hold));
            }
            case "/api/log-append" ->
                exchange.getRequestReceiver().receiveFullBytes((same, body) -> append(same, topic, body));
            default -> answer(exchange, NOT_FOUND, new byte[0]);
        }
    }

    /** Leaves a call unanswered or refuses it if a fault is set. Returns whether a fault was applied. */
    private boolean applyFault(HttpServerExchange exchange) {
        if (unresponsive) {
            exchange.dispatch(() -> {});
        } else if (refusalStatus.isPresent()) {
            answer(exchange, refusalStatus.get(), new byte[0]);
        }
        return unresponsive || refusalStatus.isPresent();
    }

    private void answer(HttpServerExchange exchange, int status, byte[] body) {
        exchange.getResponseHeaders().put(ERA, era);
        StandinCalls.answer(exchange, status, body);
    }

    private synchronized void append(HttpServerExchange exchange, String topic, byte[] body) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        int offset = entries.size();
        try {
            entries.addAll(decodeEntries(body));
            answer(exchange, OK, CanonicalJson.write(Map.of("offset", offset, "end", entries.size())));
        } catch (KeyedRecords.MalformedRecordException | BufferUnderflowException e) {
            answer(exchange, BAD_REQUEST, new byte[0]);
        }
    }

    private static List<Entry> decodeEntries(byte[] body) throws KeyedRecords.MalformedRecordException {
        List<Entry> entries = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            StoredRecord record = KeyedRecords.read(KeyedRecords.next(bytes), entries.size());
            entries.add(Entry.of(record.key(), record.value()));
        }
        return entries;
    }

    private void listNewest(HttpServerExchange exchange, String topic) {
        String after = StandinCalls.parameter(exchange, "after_revision").orElse("");
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        Map<String, Integer> offsets = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            offsets.put(entries.get(i).key(), i);
        }
        List<String> keys = offsets.keySet().stream()
                .filter(key -> entries.get(offsets.get(key)).value().length > 0)
                .filter(key -> key.compareTo(after) > 0)
                .sorted()
                .toList();
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        ArrayNode items = json.putArray("items");
        keys.stream().limit(pageSize).forEach(key -> {
            ObjectNode item = items.addObject();
            item.put("private_key", key);
            item.put("value", entries.get(offsets.get(key)).value());
            item.put("offset", offsets.get(key));
        });
        json.put("has_more", keys.size() > pageSize);
        json.put("end", entries.size());
        answer(exchange, OK, CanonicalJson.write(json));
    }

    private synchronized void read(HttpServerExchange exchange, String topic, int from, long deadlineNanos) {
        if (applyFault(exchange)) {
            return;
        }
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        int first = firstRetainedOffsets.getOrDefault(topic, 0);
        if (from < first || from > entries.size()) {
            answer(exchange, GONE, CanonicalJson.write(Map.of("first", first)));
        } else if (from < entries.size() || System.nanoTime() - deadlineNanos >= 0) {
            deliveredCounts.merge(topic, Math.max(0, entries.size() - from), Integer::sum);
            answer(exchange, OK, encodePage(entries, from, first));
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> exchange.getIoThread()
                            .executeAfter(
                                    () -> read(exchange, topic, from, deadlineNanos),
                                    POLL_MILLIS,
                                    TimeUnit.MILLISECONDS));
        }
    }

    /**
     * Encodes a read response: the end offset, the first retained offset, and the records from the requested offset.
     */
    private static byte[] encodePage(List<Entry> entries, int from, int firstRetained) {
        List<Entry> page = entries.subList(Math.min(from, entries.size()), entries.size());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(entries.size())
                .putLong(firstRetained)
                .array());
        page.forEach(entry -> bytes.writeBytes(KeyedRecords.framed(entry.raw())));
        return bytes.toByteArray();
    }
}
