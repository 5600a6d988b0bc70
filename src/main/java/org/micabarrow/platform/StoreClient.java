package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.ResponseTimeouts;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads keyed topics of the platform's store. */
public final class StoreClient implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

    private static final int OK = 200;
    private static final int GONE = 410;

    /** The maximum number of pages of newest records: guards against a store that never returns a last page. */
    private static final int MAX_PAGES = 1_000;

    /**
     * Timeout of an answer whose data keeps arriving: the largest manifest that the store accepts (4 MiB) takes 6.3 s over a link
     * of 5.3 Mbit/s.
     */
    private static final Duration TOTAL_TIMEOUT = Duration.ofMillis(10_000);

    /** A record's key, despite its name. */
    private static final String KEY = "private_key";

    private final HttpClient caller;
    private final String base;
    private final Duration within;
    private final LongSupplier steadyMillis;
    private final AtomicLong skipped = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may send nothing beyond the requested wait
     */
    public StoreClient(HttpClient caller, String address, Duration within) {
        this(caller, address, within, MonotonicClock::millis);
    }

    /**
     * Creates a client with a given clock.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may send nothing beyond the requested wait
     * @param steadyMillis a monotonic clock, in milliseconds
     */
    public StoreClient(HttpClient caller, String address, Duration within, LongSupplier steadyMillis) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.base = "http://" + Objects.requireNonNull(address, "address is null");
        this.within = Objects.requireNonNull(within, "within is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    private static String topicName(Topic topic) {
        return switch (topic) {
            case OPERATOR -> WireNames.OPERATOR_TOPIC;
            case ENDPOINTS -> WireNames.ENDPOINTS_TOPIC;
            case NAMED -> WireNames.NAMED_TOPIC;
            case CRASHES -> WireNames.CRASHES_TOPIC;
        };
    }

    private ResponseTimeouts limits(Duration wait) {
        return new ResponseTimeouts(
                wait.plus(within), within, wait.plus(TOTAL_TIMEOUT.compareTo(within) > 0 ? TOTAL_TIMEOUT : within));
    }

    // -- the newest of each key

    @Override
    public Result<Batch> readLatest(Topic topic) {
        List<StoredRecord> records = new ArrayList<>();
        String after = "";
        long end = -1;
        // The pages are no snapshot: records written after the first page was requested may be missing from all.
        OptionalLong asOf = OptionalLong.of(steadyMillis.getAsLong());
        for (int page = 0; page < MAX_PAGES; page++) {
            Result<JsonNode> answer = newestPage(topic, after);
            if (answer instanceof Result.Failure<JsonNode>(Fault fault)) {
                return Result.failure(fault);
            }
            JsonNode json = answer.toOptional().orElseThrow();
            end = end < 0 ? json.path("end").longValue() : end;
            json.path("items").forEach(item -> record(topic, item).ifPresent(records::add));
            if (!json.path("has_more").asBoolean(false)) {
                return Result.success(new Batch(records, end, asOf));
            }
            after = lastKey(json);
            if (after.isEmpty()) {
                return Result.failure(Fault.of(Step.LOG, base, Reason.CORRUPT, "a page of records names no key"));
            }
        }
        return Result.failure(Fault.of(Step.LOG, base, Reason.TOO_LARGE, "the newest records have no last page"));
    }

    /** The last key of a page, after which the next page begins; empty if the page has none. */
    private static String lastKey(JsonNode page) {
        String last = "";
        for (JsonNode item : page.path("items")) {
            last = item.path(KEY).isTextual() ? item.path(KEY).textValue() : last;
        }
        return last;
    }

    private Result<JsonNode> newestPage(Topic topic, String after) {
        String more = after.isEmpty() ? "" : "&after_revision=" + URLEncoder.encode(after, StandardCharsets.UTF_8);
        HttpCall call = HttpCall.get(
                Step.LOG, URI.create(base + WireNames.LOG_NEWEST + "?topic=" + topicName(topic) + "&part=0" + more));
        return caller.call(call, limits(Duration.ZERO))
                .flatMap(answer -> json(call, answer))
                .flatMap(page ->
                        isPage(page) ? Result.success(page) : corrupt(call, "the answer is no page of records"));
    }

    /** Keys that are not listed count as deleted, so an answer that lists none by mistake must not be accepted as a page. */
    private static boolean isPage(JsonNode json) {
        return json.path("items").isArray() && json.path("end").isIntegralNumber();
    }

    /** A record of a page; empty if it is invalid, which does not affect other records. */
    private Optional<StoredRecord> record(Topic topic, JsonNode item) {
        JsonNode offset = item.path("offset");
        try {
            if (item.path(KEY).isTextual()
                    && offset.isIntegralNumber()
                    && item.path("value").isTextual()) {
                byte[] value = item.path("value").binaryValue();
                return Optional.of(new StoredRecord(item.path(KEY).textValue(), offset.longValue(), value));
            }
            skip(topic, offset.asLong(-1), "a field is missing or of another type");
        } catch (IOException e) {
            skip(topic, offset.asLong(-1), e.getMessage());
        }
        return Optional.empty();
    }

    /**
     * Logs that a record is invalid. To bound the log, only the first, second, fourth, eighth one and so on are logged.
     */
    private void skip(Topic topic, long offset, String why) {
        long count = skipped.incrementAndGet();
        if (Long.bitCount(count) == 1) {
            LOG.error(
                    "event=record_passed_over topic={} offset={} sofar={} why=\"{}\"",
                    topic,
                    offset,
                    count,
                    StoredRecord.loggable(String.valueOf(why)));
        }
    }

    private static Result<JsonNode> json(HttpCall call, HttpResponse answer) {
        if (answer.status() != OK) {
            return refused(call, answer);
        }
        try {
            return Result.success(CanonicalJson.mapper().readTree(answer.body()));
        } catch (IOException e) {
            return corrupt(call, "the answer is not JSON: " + e.getMessage());
        }
    }

    private static <T> Result<T> refused(HttpCall call, HttpResponse answer) {
        return Result.failure(
                Fault.of(call.step(), call.peer(), Reason.OVERLOADED, "the store answered " + answer.status()));
    }

    // -- reading on

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        HttpCall call = HttpCall.get(
                Step.LOG,
                URI.create(base + WireNames.LOG_READ + "?topic=" + topicName(topic) + "&part=0&from=" + from
                        + "&wait_ms=" + wait.toMillis()));
        AskedRead asked = new AskedRead(from, steadyMillis.getAsLong(), wait.toMillis());
        return caller.call(call, limits(wait)).flatMap(answer -> switch (answer.status()) {
            case OK -> parse(topic, call, asked, answer.body());
            case GONE -> Result.success(new Read.Expired());
            default -> refused(call, answer);
        });
    }

    /** Parses an answer to a read: the topic's end, the first retained offset, and the records from the requested offset on. */
    private Result<Read> parse(Topic topic, HttpCall call, AskedRead asked, byte[] body) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(body);
            long end = bytes.getLong();
            long first = bytes.getLong();
            if (first > asked.from()) {
                return Result.success(new Read.Expired());
            }
            Batch batch = batch(topic, bytes, asked.from());
            OptionalLong asOf = asked.asOf(batch.end(), end, steadyMillis.getAsLong());
            return end < asked.from()
                    ? corrupt(call, "the topic ends at " + end + ", before " + asked.from())
                    : Result.success(new Read.Records(new Batch(batch.records(), batch.end(), asOf)));
        } catch (BufferUnderflowException e) {
            return corrupt(call, "the answer breaks off within a record");
        }
    }

    private static <T> Result<T> corrupt(HttpCall call, String why) {
        return Result.failure(Fault.of(call.step(), call.peer(), Reason.CORRUPT, why));
    }

    /** Invalid records count as offsets too; otherwise they would be requested again forever. */
    private Batch batch(Topic topic, ByteBuffer bytes, long from) {
        List<StoredRecord> records = new ArrayList<>();
        long offset = from;
        while (bytes.hasRemaining()) {
            try {
                records.add(KeyedRecords.read(KeyedRecords.next(bytes), offset));
            } catch (KeyedRecords.MalformedRecordException e) {
                skip(topic, offset, e.getMessage());
            }
            offset++;
        }
        return new Batch(records, offset);
    }
}
