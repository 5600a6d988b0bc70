package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.micabarrow.crashes.Cause;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.PromptPart;
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
    private static final String PARTS = "parts";
    private static final String PART = "part";

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
                putParts(json, crash.parts());
                yield record("crash/" + crash.endpoint(), json);
            }
            case CrashUpdate.Cleared(RequestDigest request, boolean whole) -> {
                json.put(CLEARED, request.hex());
                json.put(WHOLE, whole);
                yield record("cleared/" + request + "/" + whole, json);
            }
            case CrashUpdate.Cleared(PromptPart part, boolean whole) -> {
                json.put(CLEARED, asDigest(part).hex());
                json.put(PART, part.id());
                json.put(WHOLE, whole);
                yield record("cleared/part/" + part + "/" + whole, json);
            }
        };
    }

    /** A digest that no request has: processes that know no parts read the record as the clearing of such a request. */
    private static RequestDigest asDigest(PromptPart part) {
        return new RequestDigest("0".repeat(PromptPart.MAX_ID_LENGTH - part.id().length()) + part.id());
    }

    private static void putParts(ObjectNode json, Map<RequestDigest, Set<PromptPart>> parts) {
        if (!parts.isEmpty()) {
            ObjectNode byRequest = json.putObject(PARTS);
            parts.forEach((request, own) -> {
                ArrayNode ids = byRequest.putArray(request.hex());
                own.stream().map(PromptPart::id).sorted().forEach(ids::add);
            });
        }
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
                ? new CrashUpdate.Cleared(clearedCause(json), JsonFields.flag(json, WHOLE))
                : new CrashUpdate.Crashed(new EndpointCrash(
                        JsonFields.text(json, ENDPOINT), requests(json, ABOARD), requests(json, BEGUN), parts(json)));
    }

    private static Cause clearedCause(JsonNode json) {
        Optional<String> part = JsonFields.textIfPresent(json, PART);
        return part.isPresent() ? new PromptPart(part.get()) : new RequestDigest(JsonFields.text(json, CLEARED));
    }

    private static Map<RequestDigest, Set<PromptPart>> parts(JsonNode json) {
        Map<RequestDigest, Set<PromptPart>> parts = new HashMap<>();
        JsonFields.objectIfPresent(json, PARTS)
                .ifPresent(byRequest -> byRequest
                        .fieldNames()
                        .forEachRemaining(request -> parts.put(
                                new RequestDigest(request),
                                JsonFields.texts(byRequest, request).stream()
                                        .map(PromptPart::new)
                                        .collect(Collectors.toUnmodifiableSet()))));
        return parts;
    }

    private static Set<RequestDigest> requests(JsonNode json, String field) {
        Set<RequestDigest> requests = new HashSet<>();
        JsonFields.texts(json, field).forEach(hex -> requests.add(new RequestDigest(hex)));
        return requests;
    }
}
