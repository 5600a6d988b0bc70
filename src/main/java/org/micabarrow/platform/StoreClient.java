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
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.AnswerLimits;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.transport.HttpCaller.HttpAnswer;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.TopicReader;
import org.micabarrow.views.ViewKeeper.Topic;

/** The one client of the platform's store: reads keyed topics. */
public final class StoreClient implements TopicReader {

    private static final int OK = 200;
    private static final int GONE = 410;

    /** The most pages of newest records that are read: a bound against a store without a last page; chosen, not measured. */
    private static final int MOST_PAGES = 1_000;

    /**
     * How long an answer that keeps coming may take, in milliseconds: the largest manifest (4 MiB, the store takes no larger one) takes 6.3 s over a link of
     * 5.3 Mbit/s.
     */
    private static final Duration WHOLE = Duration.ofMillis(10_000);

    private final HttpCaller caller;
    private final String base;
    private final Duration within;

    /**
     * Makes a client.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may be silent beyond the wait that was asked for
     */
    public StoreClient(HttpCaller caller, String address, Duration within) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.base = "http://" + Objects.requireNonNull(address, "address is null");
        this.within = Objects.requireNonNull(within, "within is null");
    }

    private static String topicName(Topic topic) {
        return switch (topic) {
            case OPERATOR -> WireNames.OPERATOR_TOPIC;
            case ENDPOINTS -> WireNames.ENDPOINTS_TOPIC;
            case NAMED -> WireNames.NAMED_TOPIC;
        };
    }

    private AnswerLimits limits(Duration wait) {
        return new AnswerLimits(wait.plus(within), within, wait.plus(WHOLE.compareTo(within) > 0 ? WHOLE : within));
    }

    // -- the newest of each key

    @Override
    public Result<Batch> newest(Topic topic) {
        List<StoredRecord> records = new ArrayList<>();
        String after = "";
        long end = -1;
        for (int page = 0; page < MOST_PAGES; page++) {
            Result<JsonNode> answer = newestPage(topic, after);
            if (answer instanceof Result.Failure<JsonNode>(Fault fault)) {
                return Result.failure(fault);
            }
            JsonNode json = answer.toOptional().orElseThrow();
            end = end < 0 ? json.path("end").asLong() : end;
            json.path("items").forEach(item -> records.add(record(item)));
            if (!json.path("has_more").asBoolean(false) || records.isEmpty()) {
                return Result.success(new Batch(records, end));
            }
            after = records.getLast().key();
        }
        return Result.failure(Fault.of(Step.LOG, base, Reason.TOO_LARGE, "the newest records have no last page"));
    }

    private Result<JsonNode> newestPage(Topic topic, String after) {
        String more = after.isEmpty() ? "" : "&after_revision=" + URLEncoder.encode(after, StandardCharsets.UTF_8);
        HttpCall call = HttpCall.get(
                Step.LOG, URI.create(base + WireNames.LOG_NEWEST + "?topic=" + topicName(topic) + "&part=0" + more));
        return caller.call(call, limits(Duration.ZERO)).flatMap(answer -> json(call, answer));
    }

    /** A record of a page. The name "private_key" suggests a secret; it is the record's key. */
    private static StoredRecord record(JsonNode item) {
        byte[] value = Base64.getDecoder().decode(item.path("value").asText(""));
        return new StoredRecord(
                item.path("private_key").asText(), item.path("offset").asLong(), value);
    }

    private static Result<JsonNode> json(HttpCall call, HttpAnswer answer) {
        if (answer.status() != OK) {
            return refused(call, answer);
        }
        try {
            return Result.success(CanonicalJson.mapper().readTree(answer.body()));
        } catch (IOException e) {
            return corrupt(call, "the answer is not JSON: " + e.getMessage());
        }
    }

    private static <T> Result<T> refused(HttpCall call, HttpAnswer answer) {
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
        return caller.call(call, limits(wait)).flatMap(answer -> switch (answer.status()) {
            case OK -> parse(call, from, answer.body());
            case GONE -> Result.success(new Read.Expired());
            default -> refused(call, answer);
        });
    }

    /** An answer to a read: the topic's end, the first offset that is kept, and the records from the offset asked for. */
    private static Result<Read> parse(HttpCall call, long from, byte[] body) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(body);
            long end = bytes.getLong();
            long first = bytes.getLong();
            if (first > from) {
                return Result.success(new Read.Expired());
            }
            List<StoredRecord> records = keyedRecords(bytes, from);
            return end < from
                    ? corrupt(call, "the topic ends at " + end + ", before " + from)
                    : Result.success(new Read.Records(new Batch(records, from + records.size())));
        } catch (BufferUnderflowException | IllegalArgumentException | IndexOutOfBoundsException e) {
            return corrupt(call, "the answer breaks off within a record");
        }
    }

    private static <T> Result<T> corrupt(HttpCall call, String why) {
        return Result.failure(Fault.of(call.step(), call.peer(), Reason.CORRUPT, why));
    }

    private static List<StoredRecord> keyedRecords(ByteBuffer bytes, long from) {
        List<StoredRecord> records = new ArrayList<>();
        while (bytes.hasRemaining()) {
            records.add(keyed(bytes, from + records.size()));
        }
        return records;
    }

    /** A keyed record: the length of all that follows, the length of the key, the key, the value. */
    private static StoredRecord keyed(ByteBuffer bytes, long offset) {
        int length = bytes.getInt();
        if (length > bytes.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] record = new byte[length];
        bytes.get(record);
        int keyLength = record[0] & 0xFF;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = new byte[length - 1 - keyLength];
        System.arraycopy(record, 1 + keyLength, value, 0, value.length);
        return new StoredRecord(key, offset, value);
    }
}
