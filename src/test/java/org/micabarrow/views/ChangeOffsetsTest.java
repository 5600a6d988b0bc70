package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** Tests which records change the view: other processes are notified only of those. */
class ChangeOffsetsTest {

    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), () -> 1_000_000);

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord endpoint(String id, long offset, int writes) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\","
                        + "\"sequence\":" + writes + "}");
    }

    /** Every endpoint rewrites its entry about once a second. */
    @Test
    void shouldNotRecordChangeWhenEntryIsRewrittenUnchanged() {
        views.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0, 1)), 1);
        View before = views.view();
        views.apply(Topic.ENDPOINTS, List.of(endpoint("a", 1, 2)), 2);
        assertEquals(new ChangeOffsets(0, 1), views.changes());
        assertSame(before, views.view());
    }

    @Test
    void shouldReturnOffsetsOfLastChanges() {
        views.apply(Topic.OPERATOR, List.of(record("config", 3, "{\"version\":7,\"routes\":[],\"services\":[]}")), 4);
        views.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0, 1), endpoint("b", 5, 1)), 6);
        views.apply(Topic.ENDPOINTS, List.of(record("a", 8, "")), 9);
        assertEquals(new ChangeOffsets(4, 9), views.changes());
    }

    private static StoredRecord manifest(long offset, long version, String route, int slots) {
        return record(
                "config",
                offset,
                "{\"version\":" + version + ",\"routes\":[" + route
                        + "],\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":" + slots + "}}]}");
    }

    /** Agents use services and weight versions; routes, keys and limits are used by entries only. */
    @Test
    void shouldRecordChangeForAgentsOnlyWhenManifestChangesServices() {
        String route = "{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"s\"}";
        views.apply(Topic.OPERATOR, List.of(manifest(0, 1, "", 4)), 1);
        assertEquals(new ChangeOffsets(1, 0, 1), views.changes());
        views.apply(Topic.OPERATOR, List.of(manifest(1, 2, route, 4)), 2);
        assertEquals(new ChangeOffsets(2, 0, 1), views.changes());
        views.apply(Topic.OPERATOR, List.of(manifest(2, 3, route, 5)), 3);
        assertEquals(new ChangeOffsets(3, 0, 3), views.changes());
        views.apply(Topic.OPERATOR, List.of(record("version/m", 3, "{\"model\":\"m\",\"version\":2}")), 4);
        assertEquals(new ChangeOffsets(4, 0, 4), views.changes());
    }

    /** An agent that skips a manifest still saves its position for processes that start. */
    @Test
    void shouldSavePositionOfManifestWhenOnlyPeerHasIt() {
        views.apply(Topic.OPERATOR, List.of(manifest(0, 1, "", 4)), 1);
        views.recordManifestPosition(new ManifestPosition(7, 9));
        assertEquals(Optional.of(new UnsavedItem.Manifest(7, 9, List.of())), views.unsavedManifest());
        views.recordManifestPosition(new ManifestPosition(6, 8));
        assertEquals(Optional.of(new ManifestPosition(7, 9)), views.newestManifestPosition());
        assertEquals(OptionalLong.empty(), views.missingManifestOffset());
    }
}
