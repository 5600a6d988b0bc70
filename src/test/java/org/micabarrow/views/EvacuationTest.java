package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.StoreRecords;

/** Tests which data halls a view holds as evacuated, however the records reach it. */
class EvacuationTest {

    private final ViewMaintainer views = newViews();

    private static ViewMaintainer newViews() {
        return new ViewMaintainer(new StoreRecords(), () -> 1_000_000, Set.of("hall-a", "hall-b"));
    }

    private static StoredRecord evacuated(String hall, long offset, String value) {
        return new StoredRecord("evacuate/" + hall, offset, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoredRecord evacuated(String hall, long offset) {
        return evacuated(hall, offset, "{}");
    }

    private static StoredRecord returned(String hall, long offset) {
        return evacuated(hall, offset, "");
    }

    private void apply(StoredRecord record) {
        views.apply(Topic.OPERATOR, List.of(record), record.offset() + 1);
    }

    private Set<String> halls() {
        return views.view().evacuatedHalls();
    }

    // -- records from the store

    @Test
    void shouldEvacuateHallUntilItIsTakenBack() {
        apply(evacuated("hall-a", 3));
        assertEquals(Set.of("hall-a"), halls());
        apply(evacuated("hall-b", 4));
        assertEquals(Set.of("hall-a", "hall-b"), halls());
        apply(returned("hall-a", 5));
        assertEquals(Set.of("hall-b"), halls());
        apply(evacuated("hall-a", 6));
        assertEquals(Set.of("hall-a", "hall-b"), halls());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "{\"reason\":\"power\"}", "null", "{", "\u0000"})
    void shouldEvacuateHallWhateverTheValueIs(String value) {
        apply(evacuated("hall-a", 3, value));
        assertEquals(Set.of("hall-a"), halls());
    }

    @Test
    void shouldIgnoreHallThatDoesNotExist() {
        apply(evacuated("hall-c", 3));
        apply(evacuated("", 4));
        apply(evacuated("hall-a/b", 5));
        assertEquals(Set.of(), halls());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldFollowOffsetsWhenRecordsArriveLateAndTwice(long seed) {
        List<StoredRecord> records = new ArrayList<>(List.of(
                evacuated("hall-a", 1),
                returned("hall-a", 2),
                evacuated("hall-b", 3),
                evacuated("hall-a", 4),
                returned("hall-b", 5)));
        records.addAll(records);
        Collections.shuffle(records, new Random(seed));
        records.forEach(this::apply);
        assertEquals(Set.of("hall-a"), halls());
    }

    // -- history that is gone, restarts

    @Test
    void shouldKeepEvacuationWhenHistoryIsGone() {
        apply(evacuated("hall-a", 3));
        views.replace(Topic.OPERATOR, List.of(evacuated("hall-a", 3)), 9);
        assertEquals(Set.of("hall-a"), halls());
    }

    @Test
    void shouldReturnHallWhenItsKeyIsGoneWithTheHistory() {
        apply(evacuated("hall-a", 3));
        views.replace(Topic.OPERATOR, List.of(), 9);
        assertEquals(Set.of(), halls());
    }

    @Test
    void shouldKnowEvacuationWithManifestWhenProcessStarts() {
        StoredRecord manifest = new StoredRecord(
                "config", 1, "{\"version\":1,\"routes\":[],\"services\":[]}".getBytes(StandardCharsets.UTF_8));
        views.replace(Topic.OPERATOR, List.of(manifest, evacuated("hall-a", 0)), 2);
        assertTrue(views.view().manifest().isPresent());
        assertEquals(Set.of("hall-a"), halls());
    }

    // -- peers

    private static void readFrom(ViewMaintainer peer, ViewMaintainer reader) {
        TopicReader.Batch batch = peer.since(Topic.OPERATOR, reader.peerReadOffset(Topic.OPERATOR));
        reader.apply(Topic.OPERATOR, batch.records(), batch.end());
    }

    @Test
    void shouldLearnEvacuationAndReturnFromPeer() {
        ViewMaintainer reader = newViews();
        apply(evacuated("hall-a", 0));
        readFrom(views, reader);
        assertEquals(Set.of("hall-a"), reader.view().evacuatedHalls());
        apply(returned("hall-a", 1));
        readFrom(views, reader);
        assertEquals(Set.of(), reader.view().evacuatedHalls());
    }

    /** A peer that has read only the newest records knows of no return before, and must not pass for one that does. */
    @Test
    void shouldReadReturnElsewhereWhenPeerHasNotSeenIt() {
        ViewMaintainer reader = newViews();
        reader.apply(Topic.OPERATOR, List.of(evacuated("hall-a", 3)), 4);
        views.replace(Topic.OPERATOR, List.of(), 9);
        readFrom(views, reader);
        assertEquals(4, reader.end(Topic.OPERATOR));
        reader.apply(Topic.OPERATOR, List.of(returned("hall-a", 6)), 9);
        assertEquals(Set.of(), reader.view().evacuatedHalls());
    }

    @Test
    void shouldTellPeersThatSomethingChanged() {
        long before = views.changes().operator();
        apply(evacuated("hall-a", 3));
        assertEquals(4, views.changes().operator());
        assertTrue(before < 4);
        assertEquals(0, views.changes().weights(), "agents do not use it");
    }
}
