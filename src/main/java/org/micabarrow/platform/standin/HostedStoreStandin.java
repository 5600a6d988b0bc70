package org.micabarrow.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
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
 * Stands in for the users' store: keyed topics that can be read on and whose newest records can be listed. Faults are set
 * from outside. Safe for any number of threads.
 */
public final class HostedStoreStandin implements HttpHandler {

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    /** How often a held read looks for records, in milliseconds: little beside the second or so that it is held. */
    private static final long LOOK_MILLIS = 5;

    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Integer> firstKept = new HashMap<>();
    private final Map<String, Integer> given = new HashMap<>();
    private int pageSize = 500;
    private Optional<Integer> refusal = Optional.empty();
    private boolean silent;

    /** A record: its key, its value, and its bytes in an answer to a read. */
    private record Entry(String key, byte[] value, byte[] raw) {

        private static Entry of(String key, byte[] value) {
            return new Entry(key, value, KeyedRecords.record(key, value));
        }
    }

    // -- what tests do

    /**
     * Appends a record.
     *
     * @param topic the topic
     * @param key the key
     * @param value the value; an empty one drops the key
     * @return the record's offset
     */
    public synchronized long append(String topic, String key, String value) {
        return append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Appends a record, as any writer may.
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
     * Appends a record of any bytes, which are no key and value perhaps.
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
     * Whether a key was written to a topic.
     *
     * @param topic the topic
     * @param key the key
     * @return true if a record of the key is there, dropped or not
     */
    public synchronized boolean written(String topic, String key) {
        return topics.getOrDefault(topic, List.of()).stream()
                .anyMatch(entry -> entry.key().equals(key));
    }

    /**
     * How many keys of a topic begin so.
     *
     * @param topic the topic
     * @param prefix the beginning
     * @return their number, dropped or not
     */
    public synchronized int keys(String topic, String prefix) {
        return (int) topics.getOrDefault(topic, List.of()).stream()
                .map(Entry::key)
                .filter(key -> key.startsWith(prefix))
                .distinct()
                .count();
    }

    /**
     * How many records reads of a topic have been given, each as often as it was given.
     *
     * @param topic the topic
     * @return the number
     */
    public synchronized int given(String topic) {
        return given.getOrDefault(topic, 0);
    }

    /**
     * Drops the history of a topic; the newest record of each key stays.
     *
     * @param topic the topic
     */
    public synchronized void forgetHistory(String topic) {
        firstKept.put(topic, topics.getOrDefault(topic, List.of()).size());
    }

    /**
     * Answers every call with a status, until told otherwise; reads that are held too.
     *
     * @param status the status; empty to answer as usual
     */
    public synchronized void refuse(Optional<Integer> status) {
        refusal = status;
    }

    /**
     * Answers nothing, until told otherwise; reads that are held neither.
     *
     * @param on whether to be silent
     */
    public synchronized void silent(boolean on) {
        silent = on;
    }

    /**
     * How many records a page of newest records holds.
     *
     * @param size the number
     */
    public synchronized void pageSize(int size) {
        pageSize = size;
    }

    // -- answers

    @Override
    public synchronized void handleRequest(HttpServerExchange exchange) {
        if (unwell(exchange)) {
            return;
        }
        String topic = StandinCalls.parameter(exchange, "topic").orElse("");
        switch (exchange.getRequestPath()) {
            case "/api/log-newest" -> newest(exchange, topic);
            case "/api/log-read" -> {
                int from = Integer.parseInt(
                        StandinCalls.parameter(exchange, "from").orElse("0"));
                long hold = Long.parseLong(
                        StandinCalls.parameter(exchange, "wait_ms").orElse("0"));
                read(exchange, topic, from, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(hold));
            }
            case "/api/log-append" ->
                exchange.getRequestReceiver().receiveFullBytes((same, body) -> append(same, topic, body));
            default -> StandinCalls.answer(exchange, NOT_FOUND, new byte[0]);
        }
    }

    /** Leaves a call without an answer or refuses it, if told to; a read that is held already too. */
    private boolean unwell(HttpServerExchange exchange) {
        if (silent) {
            exchange.dispatch(() -> {});
        } else if (refusal.isPresent()) {
            StandinCalls.answer(exchange, refusal.get(), new byte[0]);
        }
        return silent || refusal.isPresent();
    }

    private synchronized void append(HttpServerExchange exchange, String topic, byte[] body) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        int offset = entries.size();
        try {
            entries.addAll(entries(body));
            StandinCalls.answer(exchange, OK, CanonicalJson.write(Map.of("offset", offset, "end", entries.size())));
        } catch (KeyedRecords.MalformedRecordException | BufferUnderflowException e) {
            StandinCalls.answer(exchange, BAD_REQUEST, new byte[0]);
        }
    }

    private static List<Entry> entries(byte[] body) throws KeyedRecords.MalformedRecordException {
        List<Entry> entries = new ArrayList<>();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.hasRemaining()) {
            StoredRecord record = KeyedRecords.read(KeyedRecords.next(bytes), entries.size());
            entries.add(Entry.of(record.key(), record.value()));
        }
        return entries;
    }

    private void newest(HttpServerExchange exchange, String topic) {
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
        StandinCalls.answer(exchange, OK, CanonicalJson.write(json));
    }

    private synchronized void read(HttpServerExchange exchange, String topic, int from, long until) {
        if (unwell(exchange)) {
            return;
        }
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        if (from < firstKept.getOrDefault(topic, 0)) {
            StandinCalls.answer(exchange, GONE, new byte[0]);
        } else if (from < entries.size() || System.nanoTime() - until >= 0) {
            given.merge(topic, Math.max(0, entries.size() - from), Integer::sum);
            StandinCalls.answer(exchange, OK, raw(entries, from, firstKept.getOrDefault(topic, 0)));
        } else {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> exchange.getIoThread()
                            .executeAfter(
                                    () -> read(exchange, topic, from, until), LOOK_MILLIS, TimeUnit.MILLISECONDS));
        }
    }

    /** The answer to a read: the topic's end, the first offset that is kept, and the records asked for. */
    private static byte[] raw(List<Entry> entries, int from, int first) {
        List<Entry> asked = entries.subList(Math.min(from, entries.size()), entries.size());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(entries.size())
                .putLong(first)
                .array());
        asked.forEach(entry -> bytes.writeBytes(KeyedRecords.framed(entry.raw())));
        return bytes.toByteArray();
    }
}
