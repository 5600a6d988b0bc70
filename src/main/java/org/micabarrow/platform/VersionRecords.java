package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.transport.HttpCaller.HttpAnswer;
import org.micabarrow.views.NamedVersions;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Unkept;

/**
 * Writes named weight versions into the system's own topic of the platform's store, as operators write them into theirs, and
 * where the newest manifest stands.
 */
public final class VersionRecords implements NamedVersions.VersionWriter {

    /** Operators' records have no such field. */
    private static final String NAMED = "namedMillis";

    private static final String VERSION = "version";
    private static final String OFFSET = "offset";

    private static final int OK = 200;
    private static final byte[] DROPPED = {};

    private final HttpCaller caller;
    private final URI uri;
    private final Duration within;

    /**
     * Makes a writer.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may take
     */
    public VersionRecords(HttpCaller caller, String address, Duration within) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
        this.uri = URI.create("http://" + Objects.requireNonNull(address, "address is null") + WireNames.LOG_APPEND
                + "?topic=" + WireNames.NAMED_TOPIC + "&part=0");
        this.within = Objects.requireNonNull(within, "within is null");
    }

    @Override
    public Result<List<StoredRecord>> write(Unkept unkept) {
        List<StoredRecord> records = new ArrayList<>();
        records.add(new StoredRecord(unkept.key(), 0, value(unkept)));
        unkept.outdated().forEach(key -> records.add(new StoredRecord(key, 0, DROPPED)));
        if (!records.stream().map(StoredRecord::key).allMatch(KeyedRecords::fits)) {
            return Result.failure(Fault.of(
                    Step.LOG,
                    uri.getAuthority(),
                    Reason.INVALID,
                    "the key is over " + KeyedRecords.MOST_KEY_BYTES + " bytes"));
        }
        HttpCall call = HttpCall.post(Step.LOG, uri, body(records));
        return caller.call(call, within).flatMap(answer -> offset(call, answer)).map(first -> at(first, records));
    }

    private static byte[] value(Unkept unkept) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        switch (unkept) {
            case Unkept.Weights weights -> {
                json.put("model", weights.model());
                json.put(VERSION, weights.version());
                weights.namedMillis().ifPresent(at -> json.put(NAMED, at));
            }
            case Unkept.Manifest manifest -> {
                json.put(VERSION, manifest.version());
                json.put(OFFSET, manifest.offset());
            }
        }
        return CanonicalJson.write(json);
    }

    /** Reads what says where a manifest stands. */
    static OperatorRecord manifestKept(JsonNode json) {
        return new OperatorRecord.ManifestKept(JsonFields.whole(json, VERSION, 0), JsonFields.whole(json, OFFSET, 0));
    }

    /** The Unix millisecond at which the writer of a record learned of its version; empty if it does not tell. */
    static OptionalLong namedMillis(JsonNode json) {
        return json.has(NAMED) ? OptionalLong.of(JsonFields.whole(json, NAMED, 0)) : OptionalLong.empty();
    }

    private static byte[] body(List<StoredRecord> records) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        records.forEach(
                record -> body.writeBytes(KeyedRecords.framed(KeyedRecords.record(record.key(), record.value()))));
        return body.toByteArray();
    }

    private static Result<Long> offset(HttpCall call, HttpAnswer answer) {
        if (answer.status() != OK) {
            return Result.failure(
                    Fault.of(call.step(), call.peer(), Reason.OVERLOADED, "the store answered " + answer.status()));
        }
        try {
            JsonNode json = CanonicalJson.mapper().readTree(answer.body());
            return json.path(OFFSET).isIntegralNumber()
                    ? Result.success(json.path(OFFSET).asLong())
                    : Result.failure(Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the answer has no offset"));
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(call.step(), call.peer(), Reason.CORRUPT, "the answer is not JSON: " + e.getMessage()));
        }
    }

    /** The records where they lie: all or none are written, one after the other. */
    private static List<StoredRecord> at(long first, List<StoredRecord> records) {
        List<StoredRecord> lying = new ArrayList<>();
        for (StoredRecord record : records) {
            lying.add(new StoredRecord(record.key(), first + lying.size(), record.value()));
        }
        return lying;
    }
}
