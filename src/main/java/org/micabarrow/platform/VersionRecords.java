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
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.UnsavedItem;
import org.micabarrow.views.VersionPersistence;

/**
 * Writes named weight versions and the position of the newest manifest into a topic of the platform's store that belongs to the
 * system, versions in the form in which operators write them.
 */
public final class VersionRecords implements VersionPersistence.VersionWriter {

    /** Absent in records that operators wrote. */
    private static final String NAMED = "namedMillis";

    /** The latest time of a naming that the writer did not see in time. */
    private static final String NAMED_BY = "namedByMillis";

    private static final String VERSION = "version";
    private static final String OFFSET = "offset";

    /** The store's era in which the offset was given out; 0 in records of builds that knew no eras. */
    private static final String ERA = "era";

    /** The offset before which all operator records are known and saved, and its era. */
    private static final String READ_TO = "readTo";

    private static final String READ_TO_ERA = "readToEra";

    private final KeyedWriter writer;

    /**
     * Creates a writer.
     *
     * @param caller sends its requests
     * @param address the store's host and port
     * @param within the timeout of a call to the store
     */
    public VersionRecords(HttpClient caller, String address, Duration within) {
        this.writer = new KeyedWriter(caller, address, WireNames.NAMED_TOPIC, within);
    }

    @Override
    public Result<List<StoredRecord>> write(UnsavedItem unsaved, OptionalLong readTo) {
        List<StoredRecord> records = new ArrayList<>();
        records.add(new StoredRecord(unsaved.key(), 0, value(unsaved, readTo)));
        unsaved.outdated().forEach(key -> records.add(KeyedWriter.tombstone(key)));
        return writer.write(records);
    }

    private static byte[] value(UnsavedItem unsaved, OptionalLong readTo) {
        ObjectNode json = CanonicalJson.mapper().createObjectNode();
        switch (unsaved) {
            case UnsavedItem.Weights weights -> {
                json.put("model", weights.model());
                json.put(VERSION, weights.version());
                weights.namedMillis().ifPresent(at -> json.put(NAMED, at));
                weights.namedByMillis().ifPresent(at -> json.put(NAMED_BY, at));
            }
            case UnsavedItem.Manifest manifest -> {
                json.put(VERSION, manifest.version());
                json.put(OFFSET, EraOffset.offset(manifest.offset()));
                json.put(ERA, EraOffset.era(manifest.offset()));
            }
        }
        readTo.ifPresent(offset -> {
            json.put(READ_TO, EraOffset.offset(offset));
            json.put(READ_TO_ERA, EraOffset.era(offset));
        });
        return CanonicalJson.write(json);
    }

    /** Decodes the position of a manifest. */
    static OperatorRecord savedManifest(JsonNode json) {
        return new OperatorRecord.SavedManifest(
                JsonFields.whole(json, VERSION, 0),
                EraOffset.of(JsonFields.longOr(json, ERA, 0), JsonFields.whole(json, OFFSET, 0)));
    }

    /** The offset before which all operator records were known and saved; empty if not stated. */
    static OptionalLong readTo(JsonNode json) {
        return json.has(READ_TO)
                ? OptionalLong.of(
                        EraOffset.of(JsonFields.whole(json, READ_TO_ERA, 0), JsonFields.whole(json, READ_TO, 0)))
                : OptionalLong.empty();
    }

    /** The Unix time in milliseconds at which the version was named, as far as the writer knew; empty if not stated. */
    static OptionalLong namedMillis(JsonNode json) {
        return wholeIfPresent(json, NAMED);
    }

    /** The Unix time in milliseconds by which the version was named, at the latest; empty if not stated. */
    static OptionalLong namedByMillis(JsonNode json) {
        return wholeIfPresent(json, NAMED_BY);
    }

    private static OptionalLong wholeIfPresent(JsonNode json, String name) {
        return json.has(name) ? OptionalLong.of(JsonFields.whole(json, name, 0)) : OptionalLong.empty();
    }
}
