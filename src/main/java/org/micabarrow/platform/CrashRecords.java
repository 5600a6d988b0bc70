package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.StoredRecord;

/**
 * Writes and reads records of crashes in a topic of the platform's store that belongs to the system. Each process writes its own
 * keys, so that no record replaces one of another process.
 */
public final class CrashRecords {

    private static final String AT = "atMillis";
    private static final String ENDPOINT = "endpoint";
    private static final String ABOARD = "aboard";
    private static final String BEGUN = "begun";
    private static final String CLEARED = "cleared";
    private static final String WHOLE = "whole";

    /** Separates the subject of a key from the process that writes it. */
    private static final String BY = " by ";

    private final KeyedWriter writer;
    private final String process;

    /**
     * Creates a writer.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within the timeout of a call to the store
     * @param process the name of this process
     */
    public CrashRecords(HttpClient caller, String address, Duration within, String process) {
        this.writer = new KeyedWriter(caller, address, WireNames.CRASHES_TOPIC, within);
        this.process = Objects.requireNonNull(process, "process is null");
    }

    /**
     * The content of a record.
     *
     * @param update what happened
     * @param unixMillis when, by the clock of the process that wrote it
     */
    public record DatedUpdate(CrashUpdate update, long unixMillis) {}

    // -- writing

    /**
     * Encodes an update. A later record on the same subject replaces it.
     *
     * @param update the update
     * @param unixMillis the current Unix time
     * @return the record, with a meaningless offset
     */
    public StoredRecord record(CrashUpdate update, long unixMillis) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        json.put(AT, unixMillis);
        return switch (update) {
            case CrashUpdate.Crashed(EndpointCrash crash) -> {
                json.put(ENDPOINT, crash.endpoint());
                put(json.putArray(ABOARD), crash.unanswered());
                put(json.putArray(BEGUN), crash.partlyAnswered());
                yield record("crash/" + crash.endpoint(), json);
            }
            case CrashUpdate.Cleared(RequestDigest request, boolean whole) -> {
                json.put(CLEARED, request.hex());
                json.put(WHOLE, whole);
                yield record("cleared/" + request + "/" + whole, json);
            }
        };
    }

    private static void put(ArrayNode array, Collection<RequestDigest> requests) {
        requests.stream().map(RequestDigest::hex).sorted().forEach(array::add);
    }

    private StoredRecord record(String of, ObjectNode json) {
        return new StoredRecord(of + BY + process, 0, CanonicalJson.write(json));
    }

    /**
     * Writes records, all or none.
     *
     * @param records the records
     * @return the records with their offsets, or why they may not have been written
     */
    public Result<List<StoredRecord>> write(List<StoredRecord> records) {
        return writer.write(records);
    }

    /**
     * Returns the record that deletes a key.
     *
     * @param key the key
     * @return the tombstone to write
     */
    public static StoredRecord tombstone(String key) {
        return KeyedWriter.tombstone(key);
    }

    // -- reading

    /**
     * Decodes a record.
     *
     * @param record a record that is not a tombstone
     * @return its content, or why it is invalid
     */
    public static Result<DatedUpdate> read(StoredRecord record) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(record.value());
            return Result.success(new DatedUpdate(update(json), JsonFields.whole(json, AT, 0)));
        } catch (IOException | IllegalArgumentException | JsonFields.MalformedField e) {
            return Result.failure(
                    Fault.of(Step.READ, record.loggableKey(), Reason.INVALID, StoredRecord.loggable(e.toString())));
        }
    }

    private static CrashUpdate update(JsonNode json) {
        return json.has(CLEARED)
                ? new CrashUpdate.Cleared(
                        new RequestDigest(JsonFields.text(json, CLEARED)), JsonFields.flag(json, WHOLE))
                : new CrashUpdate.Crashed(new EndpointCrash(
                        JsonFields.text(json, ENDPOINT), requests(json, ABOARD), requests(json, BEGUN)));
    }

    private static Set<RequestDigest> requests(JsonNode json, String field) {
        Set<RequestDigest> requests = new HashSet<>();
        JsonFields.texts(json, field).forEach(hex -> requests.add(new RequestDigest(hex)));
        return requests;
    }
}
