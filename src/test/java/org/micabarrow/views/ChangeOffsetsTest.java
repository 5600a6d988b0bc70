package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** Which records change what is believed: processes are told of those only. */
class ChangeOffsetsTest {

    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), () -> 1_000_000);

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

    /** Every endpoint writes its entry again each second or so. */
    @Test
    void shouldCountNoChangeWhenEntrySaysTheSameAgain() {
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0, 1)), 1);
        View before = keeper.view();
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 1, 2)), 2);
        assertEquals(new ChangeOffsets(0, 1), keeper.changes());
        assertSame(before, keeper.view());
    }

    @Test
    void shouldTellWhereLastChangesStand() {
        keeper.apply(Topic.OPERATOR, List.of(record("config", 3, "{\"version\":7,\"routes\":[],\"services\":[]}")), 4);
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0, 1), endpoint("b", 5, 1)), 6);
        keeper.apply(Topic.ENDPOINTS, List.of(record("a", 8, "")), 9);
        assertEquals(new ChangeOffsets(4, 9), keeper.changes());
    }

    private static StoredRecord manifest(long offset, long version, String route, int slots) {
        return record(
                "config",
                offset,
                "{\"version\":" + version + ",\"routes\":[" + route
                        + "],\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":" + slots + "}}]}");
    }

    /** Agents act on services and weight versions; routes, keys and limits are for entries. */
    @Test
    void shouldTellAgentsOfManifestOnlyWhenItChangesServices() {
        String route = "{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"service\":\"s\"}";
        keeper.apply(Topic.OPERATOR, List.of(manifest(0, 1, "", 4)), 1);
        assertEquals(new ChangeOffsets(1, 0, 1), keeper.changes());
        keeper.apply(Topic.OPERATOR, List.of(manifest(1, 2, route, 4)), 2);
        assertEquals(new ChangeOffsets(2, 0, 1), keeper.changes());
        keeper.apply(Topic.OPERATOR, List.of(manifest(2, 3, route, 5)), 3);
        assertEquals(new ChangeOffsets(3, 0, 3), keeper.changes());
        keeper.apply(Topic.OPERATOR, List.of(record("version/m", 3, "{\"model\":\"m\",\"version\":2}")), 4);
        assertEquals(new ChangeOffsets(4, 0, 4), keeper.changes());
    }

    /** An agent that passed a manifest over still keeps its place for processes that start. */
    @Test
    void shouldKeepPlaceOfManifestThatOnlyPeerHas() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(0, 1, "", 4)), 1);
        keeper.manifestStands(new ManifestPosition(7, 9));
        assertEquals(Optional.of(new UnsavedItem.Manifest(7, 9, List.of())), keeper.unkeptManifest());
        keeper.manifestStands(new ManifestPosition(6, 8));
        assertEquals(Optional.of(new ManifestPosition(7, 9)), keeper.newestManifest());
        assertEquals(OptionalLong.empty(), keeper.lackingManifest());
    }
}
