package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/**
 * An endpoint whose entry goes while the store turns this process away, and serves all others.
 *
 * <p>Seen on a hunted day: three requests reached an endpoint up to 2.8 s after its entry had gone; it had not said that it leaves. The
 * store had refused one entry's connections for eight seconds; half a second after the endpoint's entry had gone the entry read the store
 * again, doubted that the endpoint was gone, as after an outage of the store, and went on sending to it for the 2.3 s of the doubt. Cause:
 * whether the store was away for all or for this process alone is not told apart. Evidence: {@code endpoint_doubted} in the entry's lines
 * between {@code store_regained} and the late sendings, in a batch in which two other endpoints had written just before: the store had
 * taken what endpoints write.
 */
class DropWhileAwayTest {

    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), () -> 1_000_000);

    private static StoredRecord record(String id, long offset, String value) {
        return new StoredRecord(id, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord endpoint(String id, long offset) {
        return record(
                id,
                offset,
                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"ready\"}");
    }

    private boolean known(String id) {
        return keeper.view().endpoints().containsKey(id);
    }

    @Test
    void shouldBelieveDropWhenOnlyThisProcessWasAway() {
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0), endpoint("b", 1)), 2);
        keeper.regained(Topic.ENDPOINTS);
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("b", 2), record("a", 3, "")), 4);
        assertFalse(known("a"), "another endpoint wrote before it went");
        assertTrue(known("b"));
    }

    @Test
    void shouldDoubtDropWhenOthersOnlyCameBackAfterTheirOwn() {
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0), endpoint("b", 1)), 2);
        keeper.regained(Topic.ENDPOINTS);
        keeper.apply(Topic.ENDPOINTS, List.of(record("b", 2, ""), endpoint("b", 3), record("a", 4, "")), 5);
        assertTrue(known("a"), "the store was away for all");
        assertTrue(known("b"));
    }

    /** What was written between this process's last read and the outage comes in the same batch as the drops after it. */
    @Test
    void shouldDoubtDropsOfAllWhenSomeWroteBeforeTheStoreWasAway() {
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0), endpoint("b", 1), endpoint("c", 2)), 3);
        keeper.regained(Topic.ENDPOINTS);
        List<StoredRecord> lapsed =
                List.of(endpoint("b", 3), record("a", 4, ""), record("b", 5, ""), record("c", 6, ""));
        keeper.apply(Topic.ENDPOINTS, lapsed, 7);
        List.of("a", "b", "c").forEach(id -> assertTrue(known(id), id));
    }

    @Test
    void shouldBelieveDropWhenMostEntriesHaveNotLapsed() {
        keeper.apply(Topic.ENDPOINTS, List.of(endpoint("a", 0), endpoint("b", 1), endpoint("c", 2)), 3);
        keeper.regained(Topic.ENDPOINTS);
        keeper.apply(Topic.ENDPOINTS, List.of(record("a", 3, "")), 4);
        assertFalse(known("a"), "the store took what the others write");
    }
}
