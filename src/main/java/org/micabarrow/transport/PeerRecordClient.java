package org.micabarrow.transport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.views.DrainTimeBudget;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;

/** The messages by which processes tell each other records of the store. */
public final class PeerRecordClient {

    static final String PATH = "/records";

    /** How long an answer that keeps coming may take: a large manifest over a narrow link, as from the store. */
    private static final Duration WHOLE = Duration.ofSeconds(10);

    private static final int OK = 200;

    /** How long ago everything that was written was known to the peer, in milliseconds; a clock of its own tells nothing here. */
    private static final String KNOWN_MILLIS_AGO = "knownMsAgo";

    private final HttpClient caller;
    private final LongSupplier steadyMillis;

    /**
     * Makes a client.
     *
     * @param caller sends its requests
     */
    public PeerRecordClient(HttpClient caller) {
        this(caller, MonotonicClock::millis);
    }

    /**
     * Makes a client that has a clock of its own.
     *
     * @param caller sends its requests
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public PeerRecordClient(HttpClient caller, LongSupplier steadyMillis) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    /**
     * Asks a peer for the newest records of a topic at or after an offset.
     *
     * @param peer the peer's host and port
     * @param topic the topic
     * @param from the offset
     * @return the records, as of the moment before the question minus the age of what the peer knows
     */
    public Result<Batch> ask(String peer, Topic topic, long from) {
        return ask(peer, topic, from, WHOLE);
    }

    /**
     * Asks a peer for the newest records of a topic at or after an offset, if it does not take too long.
     *
     * @param peer the peer's host and port
     * @param topic the topic
     * @param from the offset
     * @param within how long the whole answer may take
     * @return the records, as of the moment before the question minus the age of what the peer knows
     */
    public Result<Batch> ask(String peer, Topic topic, long from, Duration within) {
        URI uri = URI.create("http://" + peer + PATH + "?topic=" + topic + "&from=" + from);
        HttpCall call = HttpCall.get(Step.READ, uri);
        long sent = steadyMillis.getAsLong();
        return caller.call(call, new ResponseTimeouts(DrainTimeBudget.PEER_ANSWER, DrainTimeBudget.PEER_ANSWER, within))
                .flatMap(answer -> answer.status() == OK
                        ? read(peer, answer.body(), sent)
                        : Result.failure(
                                Fault.of(Step.READ, peer, Reason.NOT_READY, "it answered " + answer.status())));
    }

    private static Result<Batch> read(String peer, byte[] body, long sentMillis) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(body);
            List<StoredRecord> records = new ArrayList<>();
            for (JsonNode one : json.path("records")) {
                records.add(new StoredRecord(
                        one.path("key").asText(),
                        one.path("offset").asLong(),
                        one.path("value").binaryValue()));
            }
            return Result.success(new Batch(records, json.path("end").asLong(), asOf(json, sentMillis)));
        } catch (IOException e) {
            return Result.failure(Fault.of(Step.READ, peer, Reason.CORRUPT, "not JSON: " + e.getMessage()));
        }
    }

    /** The peer knew of the time before its answer, which came after the question; empty if it does not say, or absurdly. */
    private static OptionalLong asOf(JsonNode json, long sentMillis) {
        JsonNode age = json.path(KNOWN_MILLIS_AGO);
        return age.isIntegralNumber() && age.canConvertToLong() && age.longValue() >= 0
                ? OptionalLong.of(sentMillis - age.longValue())
                : OptionalLong.empty();
    }

    /** Writes the answer to {@link #ask}; the moment is the time on the clock by which the records' own was taken. */
    static byte[] write(Batch batch, long nowMillis) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put("end", batch.end());
        batch.asOfMillis().ifPresent(asOf -> json.put(KNOWN_MILLIS_AGO, Math.max(0, nowMillis - asOf)));
        ArrayNode records = json.putArray("records");
        for (StoredRecord record : batch.records()) {
            ObjectNode one = records.addObject();
            one.put("key", record.key());
            one.put("offset", record.offset());
            one.put("value", record.value());
        }
        return CanonicalJson.write(json);
    }
}
