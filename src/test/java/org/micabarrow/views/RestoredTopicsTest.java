package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** What stays in force when the store continues from an older copy, until operators and endpoints write again. */
class RestoredTopicsTest {

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ViewMaintainer views = newViews();

    private ViewMaintainer newViews() {
        return new ViewMaintainer(new StoreRecords(), now::get, Set.of("hall-a"));
    }

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static long later(long offset) {
        return EraOffset.of(1, offset);
    }

    private void restored(Topic topic, long end, StoredRecord... records) {
        views.replace(topic, List.of(records), later(end));
    }

    private void read(Topic topic, StoredRecord record) {
        views.apply(topic, List.of(record), record.offset() + 1);
    }

    private void pass(long millis) {
        now.addAndGet(millis);
        views.applyDueChanges();
    }

    // -- manifests

    private static StoredRecord manifest(long version, long offset) {
        return record("config", offset, "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private long manifestVersion() {
        return views.view().manifest().orElseThrow().version();
    }

    @Test
    void shouldKeepManifestWhenOlderCopyHasEarlierOne() {
        read(Topic.OPERATOR, manifest(12, 30));
        restored(Topic.OPERATOR, 8, manifest(7, later(7)));
        assertEquals(12, manifestVersion());
        read(Topic.OPERATOR, manifest(12, later(8)));
        read(Topic.OPERATOR, manifest(13, later(9)));
        assertEquals(13, manifestVersion());
        assertEquals(
                new ManifestPosition(13, later(9)),
                views.newestManifestPosition().orElseThrow());
    }

    @Test
    void shouldApplyManifestWhenTwoErasFollowEachOther() {
        read(Topic.OPERATOR, manifest(12, 30));
        restored(Topic.OPERATOR, 8, manifest(7, later(7)));
        views.replace(Topic.OPERATOR, List.of(manifest(13, EraOffset.of(2, 3))), EraOffset.of(2, 4));
        restored(Topic.OPERATOR, 9, manifest(12, later(8)));
        assertEquals(13, manifestVersion());
        assertEquals(EraOffset.of(2, 4), views.end(Topic.OPERATOR));
    }

    @Test
    void shouldNotRelyOnConfirmationOfEarlierEra() {
        restored(Topic.OPERATOR, 8, manifest(7, later(7)));
        views.confirmOperator(30, now.get());
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.confirmOperator(later(8), now.get());
        assertEquals(OptionalLong.of(now.get()), views.operatorAsOfMillis());
    }

    /** A peer of an earlier era gets all keys, and drops those that are not among them. */
    @Test
    void shouldBringPeerOfEarlierEraUpToDate() {
        ViewMaintainer peer = newViews();
        peer.apply(Topic.OPERATOR, List.of(manifest(12, 30)), 31);
        read(Topic.OPERATOR, manifest(12, 30));
        restored(Topic.OPERATOR, 8, manifest(13, later(7)));
        assertTrue(views.changes().operator() > peer.end(Topic.OPERATOR));
        TopicReader.Batch batch = views.since(Topic.OPERATOR, peer.end(Topic.OPERATOR));
        peer.apply(Topic.OPERATOR, batch.records(), batch.end());
        assertEquals(later(8), peer.end(Topic.OPERATOR));
        assertEquals(13, peer.view().manifest().orElseThrow().version());
    }

    // -- weights

    private static StoredRecord named(long version, long offset) {
        return record("version/m", offset, "{\"model\":\"m\",\"version\":" + version + "}");
    }

    @Test
    void shouldKeepVersionAndSaveItAgainWhenOlderCopyLacksIt() {
        read(Topic.OPERATOR, named(3, 30));
        views.apply(Topic.NAMED, List.of(record("version/m/3", 5, "{\"model\":\"m\",\"version\":3}")), 6);
        assertEquals(List.of(), views.unsavedVersions());
        restored(Topic.OPERATOR, 8, named(2, later(7)));
        assertTrue(views.isSavedOutdated());
        restored(Topic.NAMED, 2);
        assertEquals(3, views.view().newestTarget("m").orElseThrow().version());
        assertEquals(1, views.unsavedVersions().size());
        assertFalse(views.isSavedOutdated());
    }

    @Test
    void shouldNotAnnounceVersionsToAgentsThatTheyKnow() {
        read(Topic.OPERATOR, named(3, 30));
        restored(Topic.OPERATOR, 8, named(3, later(7)));
        assertEquals(31, views.changes().weights());
        read(Topic.OPERATOR, named(4, later(8)));
        assertEquals(later(9), views.changes().weights());
    }

    // -- endpoints

    private static StoredRecord endpoint(String id, String state, long sequence, long offset) {
        String value = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":4,\"state\":\"" + state
                + "\",\"sequence\":" + sequence + "}";
        return record(id, offset, value);
    }

    private boolean listed(String id) {
        return views.view().endpoints().containsKey(id);
    }

    private boolean leaves(String id) {
        return views.view().endpoints().get(id).draining();
    }

    @Test
    void shouldNotMakeLeaverReadyWhenOlderCopyHasItSo() {
        read(Topic.ENDPOINTS, endpoint("e", "ready", 4, 20));
        read(Topic.ENDPOINTS, endpoint("e", "draining", 9, 30));
        pass(60_000);
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 4, later(5)));
        assertTrue(leaves("e"));
        pass(60_000);
        assertTrue(leaves("e"));
    }

    @Test
    void shouldHeedLeaverWhenItsOffsetWasGivenOutBefore() {
        read(Topic.ENDPOINTS, endpoint("e", "ready", 4, 30));
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 4, later(5)));
        read(Topic.ENDPOINTS, endpoint("e", "draining", 5, later(8)));
        assertTrue(leaves("e"));
    }

    @Test
    void shouldKeepEndpointThatWritesAgainWhenOlderCopyLacksIt() {
        read(Topic.ENDPOINTS, endpoint("lost", "ready", 1, 20));
        read(Topic.ENDPOINTS, endpoint("gone", "ready", 1, 21));
        read(Topic.ENDPOINTS, endpoint("other", "ready", 1, 22));
        restored(Topic.ENDPOINTS, 8, endpoint("other", "ready", 1, later(5)));
        assertTrue(listed("lost") && listed("gone"));
        pass(2_000);
        read(Topic.ENDPOINTS, endpoint("lost", "ready", 2, later(8)));
        pass(1_000);
        assertTrue(listed("lost"));
        assertFalse(listed("gone"));
    }

    @Test
    void shouldNotListEndpointThatIsGoneWhenOlderCopyHasIt() {
        read(Topic.ENDPOINTS, endpoint("e", "ready", 4, 20));
        read(Topic.ENDPOINTS, record("e", 30, ""));
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 4, later(5)));
        pass(4_000);
        assertFalse(listed("e"));
        read(Topic.ENDPOINTS, record("e", later(8), ""));
        pass(60_000);
        assertFalse(listed("e"));
    }

    @Test
    void shouldListEndpointAgainWhenItsEntryLasts() {
        read(Topic.ENDPOINTS, endpoint("e", "ready", 4, 20));
        read(Topic.ENDPOINTS, record("e", 30, ""));
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 4, later(5)));
        pass(UnconfirmedEntries.CONFIRMATION_MILLIS - 1);
        assertFalse(listed("e"));
        pass(1);
        assertTrue(listed("e"));
    }

    @Test
    void shouldListEndpointAgainWhenItsEntryIsNewer() {
        read(Topic.ENDPOINTS, endpoint("e", "ready", 4, 20));
        read(Topic.ENDPOINTS, record("e", 30, ""));
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 5, later(5)));
        assertTrue(listed("e"));
    }

    @Test
    void shouldListEndpointsWhenOlderCopyIsTheFirstThatIsRead() {
        restored(Topic.ENDPOINTS, 8, endpoint("e", "ready", 4, later(5)));
        assertTrue(listed("e"));
        assertEquals(later(6), views.changes().endpoints());
    }

    // -- evacuations

    private static StoredRecord evacuated(long offset) {
        return record("evacuate/hall-a", offset, "{}");
    }

    private static StoredRecord returned(long offset) {
        return record("evacuate/hall-a", offset, "");
    }

    private boolean isEvacuated() {
        return views.view().evacuatedHalls().contains("hall-a");
    }

    @Test
    void shouldKeepHallEvacuatedWhenOlderCopyLacksIt() {
        read(Topic.OPERATOR, evacuated(30));
        restored(Topic.OPERATOR, 8, manifest(7, later(7)));
        pass(9_000);
        assertTrue(isEvacuated());
        read(Topic.OPERATOR, evacuated(later(8)));
        pass(60_000);
        assertTrue(isEvacuated());
        read(Topic.OPERATOR, returned(later(9)));
        assertFalse(isEvacuated());
    }

    @Test
    void shouldEndEvacuationWhenNobodyConfirmsIt() {
        read(Topic.OPERATOR, evacuated(30));
        restored(Topic.OPERATOR, 8);
        pass(Evacuations.UNCONFIRMED_MILLIS);
        assertFalse(isEvacuated());
    }

    @Test
    void shouldNotEvacuateAgainWhenOlderCopyLacksItsEnd() {
        read(Topic.OPERATOR, evacuated(5));
        read(Topic.OPERATOR, returned(30));
        restored(Topic.OPERATOR, 8, evacuated(later(5)));
        assertFalse(isEvacuated());
        read(Topic.OPERATOR, evacuated(later(8)));
        assertTrue(isEvacuated(), "evacuated once more");
    }

    @Test
    void shouldEvacuateWhenItWasWrittenBeforeRestoredStoreIsRead() {
        read(Topic.OPERATOR, manifest(7, 30));
        restored(Topic.OPERATOR, 8, evacuated(later(6)));
        assertTrue(isEvacuated());
    }
}
