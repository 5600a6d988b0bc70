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
import java.util.function.LongUnaryOperator;
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
import org.micabarrow.views.EraOffset;
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
    private final LongUnaryOperator attentiveUntil;
    private final AtomicLong skipped = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may send nothing beyond the requested wait
     */
    public StoreClient(HttpClient caller, String address, Duration within) {
        this(caller, address, within, MonotonicClock::millis, now -> now);
    }

    /**
     * Creates a client with a given clock.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may send nothing beyond the requested wait
     * @param steadyMillis a monotonic clock, in milliseconds
     * @param attentiveUntil returns until when, as of a time on that clock, this process had handled what reached it
     */
    public StoreClient(
            HttpClient caller,
            String address,
            Duration within,
            LongSupplier steadyMillis,
            LongUnaryOperator attentiveUntil) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.base = "http://" + Objects.requireNonNull(address, "address is null");
        this.within = Objects.requireNonNull(within, "within is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        this.attentiveUntil = Objects.requireNonNull(attentiveUntil, "attentiveUntil is null");
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
        long era = -1;
        long end = -1;
        // The pages are no snapshot: records written after the first page was requested may be missing from all.
        OptionalLong asOf = OptionalLong.of(steadyMillis.getAsLong());
        for (int page = 0; page < MAX_PAGES; page++) {
            Result<Page> answer = newestPage(topic, after);
            if (answer instanceof Result.Failure<Page>(Fault fault)) {
                return Result.failure(fault);
            }
            Page read = answer.toOptional().orElseThrow();
            if (era >= 0 && era != read.era()) {
                return Result.failure(Fault.of(
                        Step.LOG, base, Reason.CONFLICT, "pages are of the eras " + era + " and " + read.era()));
            }
            era = read.era();
            end = end < 0 ? read.end() : end;
            read.items().forEach(item -> record(topic, read.era(), item).ifPresent(records::add));
            if (!read.hasMore()) {
                return Result.success(new Batch(records, end, asOf));
            }
            after = lastKey(read);
            if (after.isEmpty()) {
                return Result.failure(Fault.of(Step.LOG, base, Reason.CORRUPT, "a page of records names no key"));
            }
        }
        return Result.failure(Fault.of(Step.LOG, base, Reason.TOO_LARGE, "the newest records have no last page"));
    }

    /** A page of newest records, and the store's era when it was read. */
    private record Page(long era, JsonNode json) {

        private JsonNode items() {
            return json.path("items");
        }

        private long end() {
            return EraOffset.of(era, json.path("end").longValue());
        }

        private boolean hasMore() {
            return json.path("has_more").asBoolean(false);
        }
    }

    /** The last key of a page, after which the next page begins; empty if the page has none. */
    private static String lastKey(Page page) {
        String last = "";
        for (JsonNode item : page.items()) {
            last = item.path(KEY).isTextual() ? item.path(KEY).textValue() : last;
        }
        return last;
    }

    private Result<Page> newestPage(Topic topic, String after) {
        String more = after.isEmpty() ? "" : "&after_revision=" + URLEncoder.encode(after, StandardCharsets.UTF_8);
        HttpCall call = HttpCall.get(
                Step.LOG, URI.create(base + WireNames.LOG_NEWEST + "?topic=" + topicName(topic) + "&part=0" + more));
        return caller.read(
                call,
                limits(Duration.ZERO),
                answer -> json(call, answer)
                        .flatMap(json -> isPage(json)
                                ? StoreEra.of(call, answer).map(era -> new Page(era, json))
                                : corrupt(call, "the answer is no page of records")));
    }

    /** Keys that are not listed count as deleted, so an answer that lists none by mistake must not be accepted as a page. */
    private static boolean isPage(JsonNode json) {
        return json.path("items").isArray()
                && json.path("end").isIntegralNumber()
                && EraOffset.isOffset(json.path("end").longValue());
    }

    /** A record of a page; empty if it is invalid, which does not affect other records. */
    private Optional<StoredRecord> record(Topic topic, long era, JsonNode item) {
        JsonNode offset = item.path("offset");
        try {
            if (item.path(KEY).isTextual()
                    && offset.isIntegralNumber()
                    && EraOffset.isOffset(offset.longValue())
                    && item.path("value").isTextual()) {
                byte[] value = item.path("value").binaryValue();
                return Optional.of(
                        new StoredRecord(item.path(KEY).textValue(), EraOffset.of(era, offset.longValue()), value));
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
            return Result.success(CanonicalJson.mapper().readTree(answer.json()));
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
                URI.create(base + WireNames.LOG_READ + "?topic=" + topicName(topic) + "&part=0&from="
                        + EraOffset.offset(from) + "&wait_ms=" + wait.toMillis()));
        AskedRead asked = new AskedRead(from, steadyMillis.getAsLong(), wait.toMillis());
        return caller.read(call, limits(wait), answer -> switch (answer.status()) {
            case OK, GONE -> StoreEra.of(call, answer).flatMap(era -> inEra(era, topic, call, asked, answer));
            default -> refused(call, answer);
        });
    }

    /**
     * Interprets an answer to a read. In a later era the store may have given out the requested offset again, for
     * another record; an answer of an earlier era has been overtaken by others.
     */
    private Result<Read> inEra(long era, Topic topic, HttpCall call, AskedRead asked, HttpResponse answer) {
        long knownEra = EraOffset.era(asked.from());
        if (era < knownEra) {
            return Result.failure(Fault.of(
                    call.step(), call.peer(), Reason.CONFLICT, "an answer of era " + era + " after era " + knownEra));
        }
        if (era > knownEra) {
            LOG.info("event=store_restored topic={} era={} before={}", topic, era, knownEra);
            return Result.success(new Read.Expired());
        }
        return answer.status() == GONE
                ? Result.success(new Read.Expired(first(era, answer)))
                : parse(topic, call, asked, answer);
    }

    /** The first retained offset that an answer states; empty if it states none. */
    private static OptionalLong first(long era, HttpResponse answer) {
        try {
            JsonNode first = CanonicalJson.mapper().readTree(answer.json()).path("first");
            return first.isIntegralNumber() && EraOffset.isOffset(first.longValue())
                    ? OptionalLong.of(EraOffset.of(era, first.longValue()))
                    : OptionalLong.empty();
        } catch (IOException e) {
            LOG.info("event=first_offset_unknown why=\"{}\"", StoredRecord.loggable(String.valueOf(e.getMessage())));
            return OptionalLong.empty();
        }
    }

    /** Parses an answer to a read: the topic's end, the first retained offset, and the records from the requested offset on. */
    private Result<Read> parse(Topic topic, HttpCall call, AskedRead asked, HttpResponse answer) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(answer.body());
            long era = EraOffset.era(asked.from());
            long end = EraOffset.of(era, bytes.getLong());
            long first = EraOffset.of(era, bytes.getLong());
            if (first > asked.from()) {
                return Result.success(new Read.Expired(OptionalLong.of(first)));
            }
            Batch batch = batch(topic, bytes, asked.from());
            long now = steadyMillis.getAsLong();
            OptionalLong asOf = asked.asOf(batch.end(), end, now);
            OptionalLong notBefore = asked.notBefore(now, attentiveUntil.applyAsLong(now));
            return end < asked.from()
                    ? corrupt(call, "the topic ends at " + end + ", before " + asked.from())
                    : Result.success(
                            new Read.Records(new Batch(batch.records(), batch.end(), asOf, notBefore, List.of())));
        } catch (BufferUnderflowException e) {
            return corrupt(call, "the answer breaks off within a record");
        } catch (IllegalArgumentException e) {
            return corrupt(call, e.getMessage());
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
