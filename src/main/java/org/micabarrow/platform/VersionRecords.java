package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.UnsavedItem;
import org.micabarrow.views.VersionPersistence;

/**
 * Writes named weight versions into the system's own topic of the platform's store, as operators write them into theirs, and
 * where the newest manifest stands.
 */
public final class VersionRecords implements VersionPersistence.VersionWriter {

    /** Operators' records have no such field. */
    private static final String NAMED = "namedMillis";

    private static final String VERSION = "version";
    private static final String OFFSET = "offset";

    private final KeyedWriter writer;

    /**
     * Makes a writer.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within how long the store may take
     */
    public VersionRecords(HttpClient caller, String address, Duration within) {
        this.writer = new KeyedWriter(caller, address, WireNames.NAMED_TOPIC, within);
    }

    @Override
    public Result<List<StoredRecord>> write(UnsavedItem unkept) {
        List<StoredRecord> records = new ArrayList<>();
        records.add(new StoredRecord(unkept.key(), 0, value(unkept)));
        unkept.outdated().forEach(key -> records.add(KeyedWriter.dropping(key)));
        return writer.write(records);
    }

    private static byte[] value(UnsavedItem unkept) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        switch (unkept) {
            case UnsavedItem.Weights weights -> {
                json.put("model", weights.model());
                json.put(VERSION, weights.version());
                weights.namedMillis().ifPresent(at -> json.put(NAMED, at));
            }
            case UnsavedItem.Manifest manifest -> {
                json.put(VERSION, manifest.version());
                json.put(OFFSET, manifest.offset());
            }
        }
        return CanonicalJson.write(json);
    }

    /** Reads what says where a manifest stands. */
    static OperatorRecord manifestKept(JsonNode json) {
        return new OperatorRecord.SavedManifest(JsonFields.whole(json, VERSION, 0), JsonFields.whole(json, OFFSET, 0));
    }

    /** The Unix millisecond at which the writer of a record learned of its version; empty if it does not tell. */
    static OptionalLong namedMillis(JsonNode json) {
        return json.has(NAMED) ? OptionalLong.of(JsonFields.whole(json, NAMED, 0)) : OptionalLong.empty();
    }
}
