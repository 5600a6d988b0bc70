package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** Which records change what is believed: processes are told of those only. */
class LastChangesTest {

    private final ViewKeeper keeper = new ViewKeeper(new StoreRecords(), () -> 1_000_000);

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
        assertEquals(new LastChanges(0, 1), keeper.changes());
        assertSame(before, keeper.view());
    }

    @Test
    void shouldTellWhereLastChangesStand() {
        keeper.apply(Topic.OPERATOR, List.of(record("config", 3, "{\"version\":7,\"routes\":[],\"services\":[]}")), 4);
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0, 1), endpoint("b", 5, 1)), 6);
        keeper.apply(Topic.ENDPOINTS, List.of(record("a", 8, "")), 9);
        assertEquals(new LastChanges(4, 9), keeper.changes());
    }
}
