package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.StoredRecord;

/** Writes keyed records into a topic of the platform's store that belongs to the system. */
final class KeyedWriter {

    private static final String OFFSET = "offset";

    private static final int OK = 200;
    private static final byte[] NO_VALUE = {};

    private final HttpClient caller;
    private final URI uri;
    private final Duration within;

    /**
     * Creates a writer.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param topic the topic's name on the wire
     * @param within the timeout of a call to the store
     */
    KeyedWriter(HttpClient caller, String address, String topic, Duration within) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.uri = URI.create("http://" + Objects.requireNonNull(address, "address is null") + WireNames.LOG_APPEND
                + "?topic=" + topic + "&part=0");
        this.within = Objects.requireNonNull(within, "within is null");
    }

    /** Returns the record that deletes a key. */
    static StoredRecord tombstone(String key) {
        return new StoredRecord(key, 0, NO_VALUE);
    }

    /**
     * Writes records, all or none, at consecutive offsets.
     *
     * @param records the records, whose offsets are ignored
     * @return the records with their offsets, or why they may not have been written
     */
    Result<List<StoredRecord>> write(List<StoredRecord> records) {
        if (!records.stream().map(StoredRecord::key).allMatch(KeyedRecords::fits)) {
            return Result.failure(Fault.of(
                    Step.LOG,
                    uri.getAuthority(),
                    Reason.INVALID,
                    "the key is over " + KeyedRecords.MAX_KEY_BYTES + " bytes"));
        }
        HttpCall call = HttpCall.post(Step.LOG, uri, body(records));
        return caller.read(
                        call,
                        within,
                        answer -> offset(call, answer)
                                .flatMap(first -> StoreEra.of(call, answer).map(era -> EraOffset.of(era, first))))
                .map(first -> at(first, records));
    }

    private static byte[] body(List<StoredRecord> records) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        records.forEach(
                record -> body.writeBytes(KeyedRecords.framed(KeyedRecords.record(record.key(), record.value()))));
        return body.toByteArray();
    }

    private static Result<Long> offset(HttpCall call, HttpResponse answer) {
        if (answer.status() != OK) {
            return Result.failure(
                    Fault.of(call.step(), call.peer(), Reason.OVERLOADED, "the store answered " + answer.status()));
        }
        try {
            JsonNode json = CanonicalJson.mapper().readTree(answer.json());
            return json.path(OFFSET).isIntegralNumber()
                            && EraOffset.isOffset(json.path(OFFSET).longValue())
                    ? Result.success(json.path(OFFSET).asLong())
                    : Result.failure(Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the answer has no offset"));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the answer is not JSON: " + e.getMessage()));
        }
    }

    private static List<StoredRecord> at(long first, List<StoredRecord> records) {
        List<StoredRecord> placed = new ArrayList<>();
        for (StoredRecord record : records) {
            placed.add(new StoredRecord(record.key(), first + placed.size(), record.value()));
        }
        return placed;
    }
}
