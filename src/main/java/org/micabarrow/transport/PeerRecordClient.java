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
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.views.DrainTimeBudget;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.NamingAccount;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;

/** Requests records of the store from other processes, and writes the responses to such requests. */
public final class PeerRecordClient {

    static final String PATH = "/records";

    /**
     * The total timeout for a response that keeps arriving, which may be a large manifest over a narrow link, as in
     * reads from the store.
     */
    private static final Duration TOTAL_TIMEOUT = Duration.ofSeconds(10);

    /**
     * The store's era of an offset, in requests and in responses. Builds that know no eras send none and skip it; in a
     * response without it, offsets are of the first era.
     */
    static final String ERA = "era";

    private static final int OK = 200;

    /**
     * The field that states how long ago the peer knew everything that had been written, in milliseconds; a time on the
     * peer's own clock would have no meaning here.
     */
    private static final String KNOWN_MILLIS_AGO = "knownMsAgo";

    /** The list of what the peer knows of when weight versions were named; builds that know none send and read none. */
    private static final String ACCOUNTS = "accounts";

    private static final String MODEL = "model";
    private static final String VERSION = "version";

    /** The field of an account that states how long ago the version was not named yet, in milliseconds. */
    private static final String NOT_BEFORE_MILLIS_AGO = "notBeforeMsAgo";

    private final HttpClient client;
    private final LongSupplier monotonicMillis;

    /**
     * Creates a client.
     *
     * @param client sends its requests
     */
    public PeerRecordClient(HttpClient client) {
        this(client, MonotonicClock::millis);
    }

    /**
     * Creates a client with a given clock.
     *
     * @param client sends its requests
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public PeerRecordClient(HttpClient client, LongSupplier monotonicMillis) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
    }

    /**
     * Requests from a peer the newest records of a topic at or after an offset.
     *
     * @param peer the peer's host and port
     * @param topic the topic
     * @param from the offset
     * @return the records, valid as of the time of sending the request minus the age of the peer's knowledge
     */
    public Result<Batch> request(String peer, Topic topic, long from) {
        return request(peer, topic, from, TOTAL_TIMEOUT);
    }

    /**
     * Requests from a peer the newest records of a topic at or after an offset, with a given timeout.
     *
     * @param peer the peer's host and port
     * @param topic the topic
     * @param from the offset
     * @param timeout the timeout for the complete response
     * @return the records, valid as of the time of sending the request minus the age of the peer's knowledge
     */
    public Result<Batch> request(String peer, Topic topic, long from, Duration timeout) {
        URI uri = URI.create("http://" + peer + PATH + "?topic=" + topic + "&from=" + EraOffset.offset(from) + "&" + ERA
                + "=" + EraOffset.era(from));
        HttpCall call = HttpCall.get(Step.READ, uri);
        long sentMillis = monotonicMillis.getAsLong();
        return client.read(
                call,
                new ResponseTimeouts(
                        DrainTimeBudget.PEER_RESPONSE_TIMEOUT, DrainTimeBudget.PEER_RESPONSE_TIMEOUT, timeout),
                response -> response.status() == OK
                        ? parse(peer, response, sentMillis)
                        : Result.failure(Fault.of(
                                Step.READ, peer, Reason.NOT_READY, "it returned status " + response.status())));
    }

    private static Result<Batch> parse(String peer, HttpResponse response, long sentMillis) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(response.json());
            List<StoredRecord> records = new ArrayList<>();
            for (JsonNode node : json.path("records")) {
                records.add(new StoredRecord(
                        node.path("key").asText(),
                        EraOffset.of(
                                node.path(ERA).asLong(), node.path("offset").asLong()),
                        node.path("value").binaryValue()));
            }
            long end = EraOffset.of(json.path(ERA).asLong(), json.path("end").asLong());
            return Result.success(
                    new Batch(records, end, asOf(json, sentMillis), OptionalLong.empty(), accounts(json, sentMillis)));
        } catch (IOException e) {
            return Result.failure(Fault.of(Step.READ, peer, Reason.CORRUPT, "not JSON: " + e.getMessage()));
        } catch (IllegalArgumentException e) {
            return Result.failure(Fault.of(Step.READ, peer, Reason.CORRUPT, e.getMessage()));
        }
    }

    /**
     * The time as of which the records are valid. The peer stated the age when it responded, which was after the
     * request was sent, so the time of sending minus the age is never too late. Empty if the response states no age or
     * an invalid one.
     */
    private static OptionalLong asOf(JsonNode json, long sentMillis) {
        JsonNode age = json.path(KNOWN_MILLIS_AGO);
        return age.isIntegralNumber() && age.canConvertToLong() && age.longValue() >= 0
                ? OptionalLong.of(sentMillis - age.longValue())
                : OptionalLong.empty();
    }

    /**
     * What the peer knows of when versions were named. As for {@link #asOf}, the time of sending minus the age is never
     * too late. Incomplete items are skipped.
     */
    private static List<NamingAccount> accounts(JsonNode json, long sentMillis) {
        List<NamingAccount> accounts = new ArrayList<>();
        for (JsonNode node : json.path(ACCOUNTS)) {
            JsonNode age = node.path(NOT_BEFORE_MILLIS_AGO);
            if (node.path(MODEL).isTextual()
                    && node.path(VERSION).canConvertToLong()
                    && age.isIntegralNumber()
                    && age.canConvertToLong()
                    && age.longValue() >= 0) {
                accounts.add(new NamingAccount(
                        node.path(MODEL).textValue(), node.path(VERSION).longValue(), sentMillis - age.longValue()));
            }
        }
        return accounts;
    }

    /** Writes the response to {@link #request}; {@code nowMillis} is on the same clock as the times of the batch. */
    static byte[] write(Batch batch, long nowMillis) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put("end", EraOffset.offset(batch.end()));
        json.put(ERA, EraOffset.era(batch.end()));
        batch.asOfMillis().ifPresent(asOf -> json.put(KNOWN_MILLIS_AGO, Math.max(0, nowMillis - asOf)));
        ArrayNode records = json.putArray("records");
        for (StoredRecord record : batch.records()) {
            ObjectNode node = records.addObject();
            node.put("key", record.key());
            node.put("offset", EraOffset.offset(record.offset()));
            node.put(ERA, EraOffset.era(record.offset()));
            node.put("value", record.value());
        }
        ArrayNode accounts = json.putArray(ACCOUNTS);
        for (NamingAccount account : batch.accounts()) {
            ObjectNode node = accounts.addObject();
            node.put(MODEL, account.model());
            node.put(VERSION, account.version());
            node.put(NOT_BEFORE_MILLIS_AGO, Math.max(0, nowMillis - account.notBeforeMillis()));
        }
        return CanonicalJson.write(json);
    }
}
