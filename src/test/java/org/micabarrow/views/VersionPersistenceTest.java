package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** Tests how named weight versions are saved and restored with late writes, lost responses and restarting processes. */
class VersionPersistenceTest extends VersionPersistenceFixture {

    @Test
    void shouldKnowNewestVersionWhenOlderOneIsWrittenAfterIt() {
        writeNamedVersion(3);
        new TestProcess().persistence.check();
        writeNamedVersion(2);
        assertEquals(3, new TestProcess().newestVersion());
    }

    @Test
    void shouldNotTreatOlderSavedVersionsAsJustNamed() {
        for (long version = 1; version <= 3; version++) {
            writeNamedVersion(version);
            new TestProcess().persistence.check();
        }
        assertEquals(
                List.of(3L),
                new TestProcess()
                        .views.view().targets().get("m").stream()
                                .map(View.Target::version)
                                .toList(),
                "an older version would be allowed to serve until its bound has passed");
    }

    @Test
    void shouldSaveVersionOnce() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        node.persistence.check();
        node.persistence.check();
        new TestProcess().persistence.check();
        assertEquals(1, store.writeCount);
    }

    @Test
    void shouldSaveAgainWhenStoreRefused() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        store.refuseWrites = true;
        node.persistence.check();
        store.refuseWrites = false;
        node.persistence.check();
        node.persistence.check();
        assertEquals(2, store.writeCount);
        assertEquals(2, new TestProcess().newestVersion());
    }

    @Test
    void shouldSaveAgainWhenResponseIsLost() {
        TestProcess node = new TestProcess();
        node.checkUntilNoLongerRead();
        node.readNaming(2);
        store.loseResponses = true;
        node.persistence.check();
        store.loseResponses = false;
        node.persistence.check();
        node.persistence.check();
        assertEquals(2, store.writeCount);
        assertEquals(2, new TestProcess().newestVersion());
    }

    @Test
    void shouldSaveVersionOnceMoreWhenRestoredStoreLacksIt() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        node.checkUntilNoLongerRead();
        store.restoreWithout(Topic.NAMED);
        node.follower.readOnce();
        node.follower.readOnce();
        node.persistence.check();
        node.persistence.check();
        assertEquals(2, store.writeCount);
        assertEquals(2, new TestProcess().newestVersion());
    }

    /** A writer that learns of the restore from a peer has not read what is saved since. */
    @Test
    void shouldReadSavedVersionsWhenPeerReportsLaterEra() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        node.checkUntilNoLongerRead();
        store.restoreWithout(Topic.NAMED);
        node.views.replace(Topic.ENDPOINTS, List.of(), EraOffset.of(1, 4));
        node.persistence.check();
        assertEquals(2, store.writeCount);
    }

    @Test
    void shouldNotReadSavedVersionsAgainWhenProcessNeverSaves() {
        writeNamedVersion(2);
        ViewMaintainer views = new ViewMaintainer(new StoreRecords(), monotonic::get, unix::get);
        VersionPersistence persistence =
                new VersionPersistence(store, store, views, () -> VersionPersistence.WriteRole.NONE, () -> {});
        views.replace(
                Topic.OPERATOR,
                persistence
                        .readLatest(Topic.OPERATOR)
                        .toOptional()
                        .orElseThrow()
                        .records(),
                1);
        store.restoreWithout(Topic.NAMED);
        views.replace(Topic.ENDPOINTS, List.of(), EraOffset.of(1, 4));
        for (int i = 0; i < 40; i++) {
            persistence.check();
        }
        store.latestReads.clear();
        persistence.check();
        assertEquals(List.of(), store.latestReads);
    }

    @Test
    void shouldSaveNothingWhenNotPrimary() {
        primary.set(false);
        writeNamedVersion(2);
        new TestProcess().persistence.check();
        assertEquals(0, store.writeCount);
    }

    @Test
    void shouldUseOperatorRecordWhenSavedVersionsAreUnreadableAndRestoreThemLater() {
        writeNamedVersion(3);
        new TestProcess().persistence.check();
        writeNamedVersion(2);
        store.down = true;
        TestProcess fresh = new TestProcess();
        assertEquals(
                2, fresh.newestVersion(), "a manifest must not be delayed by what only protects against late writes");
        store.down = false;
        fresh.persistence.check();
        assertEquals(3, fresh.newestVersion());
    }

    @Test
    void shouldRestoreAgainWhenLatestRecordsAreReadAgain() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        node.persistence.readLatest(Topic.OPERATOR);
        assertEquals(
                List.of(Topic.NAMED, Topic.OPERATOR, Topic.NAMED, Topic.OPERATOR),
                store.latestReads,
                "a record that was read since may have replaced a newer version");
    }

    @Test
    void shouldDeleteOutdatedVersions() {
        for (long version = 1; version <= 30; version++) {
            writeNamedVersion(version);
            new TestProcess().persistence.check();
        }
        TestProcess fresh = new TestProcess();
        assertEquals(30, fresh.newestVersion());
        assertEquals(
                9,
                store.readLatest(Topic.NAMED)
                        .toOptional()
                        .orElseThrow()
                        .records()
                        .size());
    }

    @Test
    void shouldSkipSavedRecordWhenItIsInvalid() {
        writeNamedVersion(2);
        store.append(Topic.NAMED, "version/m/9", "{");
        store.append(Topic.NAMED, "else", "{}");
        TestProcess node = new TestProcess();
        node.persistence.check();
        assertEquals(2, node.newestVersion());
        assertEquals(1, store.writeCount);
    }

    @Test
    void shouldNotTreatSavedVersionsAsObservedAtStartup() {
        writeNamedVersion(2);
        new TestProcess().persistence.check();
        TestProcess fresh = new TestProcess();
        assertFalse(fresh.views.view().newestTarget("m").orElseThrow().namingObserved());
        fresh.views.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 7, named("m", 3).getBytes(StandardCharsets.UTF_8))),
                8);
        assertTrue(fresh.views.view().newestTarget("m").orElseThrow().namingObserved());
    }

    // -- effects that saved versions must not have

    /** A version is saved half a second after it was named at the earliest, and a process may start before that. */
    @Test
    void shouldLearnNewestVersionWhenItIsSavedAfterStartup() {
        writeNamedVersion(3);
        TestProcess running = new TestProcess();
        writeNamedVersion(2);
        TestProcess fresh = new TestProcess();
        running.persistence.check();
        fresh.persistence.check();
        assertEquals(3, fresh.newestVersion());
    }

    /** The time of naming is unknown, so older versions must not be allowed for another bound. */
    @Test
    void shouldNotTreatVersionRestoredLaterAsObserved() {
        writeNamedVersion(3);
        new TestProcess().persistence.check();
        writeNamedVersion(2);
        store.down = true;
        TestProcess fresh = new TestProcess();
        store.down = false;
        fresh.persistence.check();
        assertFalse(fresh.views.view().newestTarget("m").orElseThrow().namingObserved());
    }

    /** A request for chunks from an agent states a version, which must not be saved for all later processes. */
    @Test
    void shouldNotSaveVersionWhenOnlyPeerReportedIt() {
        writeNamedVersion(2);
        TestProcess node = new TestProcess();
        node.views.addPeerTarget("m", 999);
        node.persistence.check();
        assertEquals(2, new TestProcess().newestVersion());
    }

    /** The time at which a saved version was named is unknown if it is older than the newest operator record. */
    @Test
    void shouldNotTreatSavedVersionAsJustNamedWhenOperatorNamesNewerOne() {
        writeNamedVersion(3);
        new TestProcess().persistence.check();
        writeNamedVersion(4);
        assertEquals(
                List.of(4L),
                new TestProcess()
                        .views.view().targets().get("m").stream()
                                .map(View.Target::version)
                                .toList());
    }

    /** The same operator writes manifests and weight versions through the same store. */
    @Test
    void shouldKnowNewestManifestWhenOlderOneIsWrittenAfterIt() {
        store.append(Topic.OPERATOR, "config", "{\"version\":2,\"routes\":[],\"services\":[]}");
        TestProcess running = new TestProcess();
        running.persistence.check();
        store.append(Topic.OPERATOR, "config", "{\"version\":1,\"routes\":[],\"services\":[]}");
        assertEquals(2, new TestProcess().views.view().manifest().orElseThrow().version());
    }

    // -- manifests replaced by an older one

    private void writeManifest(long version) {
        store.append(Topic.OPERATOR, "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private static long manifestVersion(ViewMaintainer views) {
        return views.view().manifest().orElseThrow().version();
    }

    /** The store deletes its history after a while; processes that were running still have the record. */
    @Test
    void shouldKnowNewestManifestFromPeerWhenHistoryIsGone() {
        writeManifest(2);
        TestProcess running = new TestProcess();
        running.persistence.check();
        writeManifest(1);
        running.follower.readOnce();
        store.historyExpired = true;
        ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), monotonic::get, unix::get);
        Runnable requestFromPeer = () -> {
            TopicReader.Batch batch = running.views.since(Topic.OPERATOR, fresh.peerReadOffset(Topic.OPERATOR));
            fresh.apply(Topic.OPERATOR, batch.records(), batch.end());
        };
        VersionPersistence persistence =
                new VersionPersistence(store, store, fresh, () -> VersionPersistence.WriteRole.NONE, requestFromPeer);
        fresh.replace(
                Topic.OPERATOR,
                persistence
                        .readLatest(Topic.OPERATOR)
                        .toOptional()
                        .orElseThrow()
                        .records(),
                2);
        assertEquals(2, manifestVersion(fresh));
    }

    /** The saved versions may be unreadable at startup. */
    @Test
    void shouldReadNewestManifestWhenItsPositionIsRestoredLater() {
        writeManifest(2);
        new TestProcess().persistence.check();
        writeManifest(1);
        store.down = true;
        TestProcess fresh = new TestProcess();
        assertEquals(1, manifestVersion(fresh.views));
        store.down = false;
        fresh.persistence.check();
        assertEquals(2, manifestVersion(fresh.views));
    }

    /** Requests are handled on another thread, with whichever view is current. */
    @Test
    void shouldNotActivateOlderManifestEvenBriefly() throws Exception {
        writeManifest(2);
        new TestProcess().persistence.check();
        writeManifest(1);
        for (int i = 0; i < 200; i++) {
            ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), monotonic::get, unix::get);
            VersionPersistence persistence = new VersionPersistence(store, store, fresh, primary::get);
            CompletableFuture<Long> first = CompletableFuture.supplyAsync(() -> {
                while (fresh.view().manifest().isEmpty()) {
                    Thread.onSpinWait();
                }
                return manifestVersion(fresh);
            });
            fresh.replace(
                    Topic.OPERATOR,
                    persistence
                            .readLatest(Topic.OPERATOR)
                            .toOptional()
                            .orElseThrow()
                            .records(),
                    2);
            assertEquals(2, first.get(20, TimeUnit.SECONDS));
        }
    }

    /** If all processes have ended and the history is gone, only the older manifest remains. */
    @Test
    void shouldUseOlderManifestWhenNoProcessHasNewest() {
        writeManifest(2);
        new TestProcess().persistence.check();
        writeManifest(1);
        store.historyExpired = true;
        TestProcess fresh = new TestProcess();
        fresh.checkUntilNoLongerRead();
        assertEquals(1, manifestVersion(fresh.views));
    }

    @Test
    void shouldSaveOnlyPositionOfNewestManifest() {
        TestProcess running = new TestProcess();
        for (long version = 3; version <= 9; version += 3) {
            writeManifest(version);
            running.views.apply(
                    Topic.OPERATOR, List.of(store.topics.get(Topic.OPERATOR).getLast()), version);
            running.persistence.check();
        }
        assertEquals(
                List.of("manifest/9"),
                store.readLatest(Topic.NAMED).toOptional().orElseThrow().records().stream()
                        .map(StoredRecord::key)
                        .toList());
    }

    @Test
    void shouldNotSaveManifestWhenNotPrimary() {
        primary.set(false);
        writeManifest(2);
        TestProcess node = new TestProcess();
        node.checkUntilNoLongerRead();
        assertEquals(0, store.writeCount, "otherwise every process would write on each change of the manifest");
    }

    // -- deadlines of superseded targets

    @Test
    void shouldEnforceDeadlineOfSupersededTarget() {
        ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), monotonic::get, unix::get);
        fresh.replace(Topic.NAMED, List.of(record("version/m/3", 0, named("m", 3))), 1);
        advance(5_000);
        fresh.replace(Topic.OPERATOR, List.of(record("version/m", 0, named("m", 4))), 1);
        assertEquals(4, fresh.view().nextTarget("m", 2).orElseThrow().version(), "version 3 must not be fetched");
        advance(3_001);
        assertEquals(3, fresh.view().minVersion("m", 8_000, monotonic.get()), "8 s after version 3 was first read");
        advance(5_000);
        assertEquals(4, fresh.view().minVersion("m", 8_000, monotonic.get()));
    }

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }
}
