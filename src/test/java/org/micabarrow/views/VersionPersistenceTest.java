package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;

/** Which weight versions were named, through writes that come late, lost answers and processes that start again. */
class VersionPersistenceTest {

    private final FakeKeyedStore store = new FakeKeyedStore();
    private final AtomicBoolean writes = new AtomicBoolean(true);
    private final AtomicLong steady = new AtomicLong(1_000_000);
    private final AtomicLong unix = new AtomicLong(1_764_718_674_123L);

    private static String named(String model, long version) {
        return FakeKeyedStore.named(model, version);
    }

    private void operatorNames(long version) {
        store.append(Topic.OPERATOR, "version/m", named("m", version));
    }

    /** A process that has read what operators wrote. */
    private final class Node {

        private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), steady::get, unix::get);
        private final VersionPersistence versions = new VersionPersistence(store, store, keeper, writes::get);
        private final StoreFollower follower = new StoreFollower(
                Topic.OPERATOR,
                versions,
                keeper,
                topic -> {},
                new StoreFollower.Pace(Duration.ofMillis(10), Duration.ofMillis(5)));

        private Node() {
            follower.once();
        }

        /** What is kept is read again for a while after the start. */
        private void lookUntilReadNoMore() {
            for (int i = 0; i < 40; i++) {
                versions.look();
            }
        }

        /** Reads the record of a version that is named now. */
        private void learns(long version) {
            operatorNames(version);
            StoredRecord record = store.topics.get(Topic.OPERATOR).getLast();
            keeper.apply(Topic.OPERATOR, List.of(record), record.offset() + 1);
        }

        private long newest() {
            return keeper.view().newestTarget("m").map(View.Target::version).orElse(0L);
        }
    }

    @Test
    void shouldKnowNewestVersionWhenOlderOneIsWrittenAfterIt() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(2);
        assertEquals(3, new Node().newest());
    }

    @Test
    void shouldNotTakeOlderVersionsThatAreKeptForNamedNow() {
        for (long version = 1; version <= 3; version++) {
            operatorNames(version);
            new Node().versions.look();
        }
        assertEquals(
                List.of(3L),
                new Node()
                        .keeper.view().targets().get("m").stream()
                                .map(View.Target::version)
                                .toList(),
                "an older one would seem good to answer until its bound is over");
    }

    @Test
    void shouldWriteVersionOnce() {
        operatorNames(2);
        Node node = new Node();
        node.versions.look();
        node.versions.look();
        new Node().versions.look();
        assertEquals(1, store.writes);
    }

    @Test
    void shouldWriteAgainWhenStoreDidNothing() {
        operatorNames(2);
        Node node = new Node();
        store.refusesWrites = true;
        node.versions.look();
        store.refusesWrites = false;
        node.versions.look();
        node.versions.look();
        assertEquals(2, store.writes);
        assertEquals(2, new Node().newest());
    }

    @Test
    void shouldWriteAgainWhenAnswerIsLost() {
        Node node = new Node();
        node.lookUntilReadNoMore();
        node.learns(2);
        store.losesAnswers = true;
        node.versions.look();
        store.losesAnswers = false;
        node.versions.look();
        node.versions.look();
        assertEquals(2, store.writes);
        assertEquals(2, new Node().newest());
    }

    @Test
    void shouldWriteNothingWhenOthersDo() {
        writes.set(false);
        operatorNames(2);
        new Node().versions.look();
        assertEquals(0, store.writes);
    }

    @Test
    void shouldFollowOperatorWhenKeptVersionsCannotBeReadAndRecallThemLater() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(2);
        store.down = true;
        Node fresh = new Node();
        assertEquals(2, fresh.newest(), "a manifest must not wait for what only helps against late writes");
        store.down = false;
        fresh.versions.look();
        assertEquals(3, fresh.newest());
    }

    @Test
    void shouldRecallAgainWhenNewestRecordsAreReadAgain() {
        operatorNames(2);
        Node node = new Node();
        node.versions.newest(Topic.OPERATOR);
        assertEquals(
                List.of(Topic.NAMED, Topic.OPERATOR, Topic.NAMED, Topic.OPERATOR),
                store.readNewest,
                "what was read on may have hidden a version");
    }

    @Test
    void shouldDropVersionsThatAreLongReplaced() {
        for (long version = 1; version <= 30; version++) {
            operatorNames(version);
            new Node().versions.look();
        }
        Node fresh = new Node();
        assertEquals(30, fresh.newest());
        assertEquals(
                9,
                store.newest(Topic.NAMED).toOptional().orElseThrow().records().size());
    }

    @Test
    void shouldPassOverKeptRecordThatCannotBeRead() {
        operatorNames(2);
        store.append(Topic.NAMED, "version/m/9", "{");
        store.append(Topic.NAMED, "else", "{}");
        Node node = new Node();
        node.versions.look();
        assertEquals(2, node.newest());
        assertEquals(1, store.writes);
    }

    @Test
    void shouldTakeKeptVersionsForFoundAtStart() {
        operatorNames(2);
        new Node().versions.look();
        Node fresh = new Node();
        assertFalse(fresh.keeper.view().newestTarget("m").orElseThrow().seenNamed());
        fresh.keeper.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 7, named("m", 3).getBytes(StandardCharsets.UTF_8))),
                8);
        assertTrue(fresh.keeper.view().newestTarget("m").orElseThrow().seenNamed());
    }

    // -- when a version was named

    private void pass(long millis) {
        steady.addAndGet(millis);
        unix.addAndGet(millis);
    }

    private long least(Node node) {
        return node.keeper.view().leastVersion("m", 8_000, steady.get());
    }

    /** A process that runs sees version 2 being named and keeps it. */
    private void nameVersionTwo() {
        Node running = new Node();
        running.keeper.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 3, named("m", 2).getBytes(StandardCharsets.UTF_8))),
                4);
        pass(400);
        running.versions.look();
    }

    @Test
    void shouldCountTimeSinceNamingWhenProcessStartsWhileVersionIsDue() {
        nameVersionTwo();
        pass(5_000);
        steady.set(70);
        Node fresh = new Node();
        assertEquals(0, least(fresh));
        pass(2_700);
        assertEquals(2, least(fresh), "8.1 s after the naming");
    }

    @Test
    void shouldCountFromStartWhenClockIsBehind() {
        nameVersionTwo();
        unix.addAndGet(-9_000);
        Node fresh = new Node();
        pass(7_900);
        assertEquals(0, least(fresh));
        pass(200);
        assertEquals(2, least(fresh));
    }

    @Test
    void shouldNotSayWhenVersionWasNamedIfItWasFoundNamed() {
        operatorNames(2);
        new Node().versions.look();
        pass(60_000);
        assertEquals(
                0, least(new Node()), "a process that started late would have made the version look newer or older");
    }

    // -- what the kept versions must not make believe

    /** A version is kept half a second after it was named at the soonest, and a process may start before. */
    @Test
    void shouldLearnNewestVersionWhenItIsKeptAfterStart() {
        operatorNames(3);
        Node running = new Node();
        operatorNames(2);
        Node fresh = new Node();
        running.versions.look();
        fresh.versions.look();
        assertEquals(3, fresh.newest());
    }

    /** Nobody knows for how long it had been named, so that no older version may answer for another bound. */
    @Test
    void shouldTakeVersionRecalledLaterForFoundAtStart() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(2);
        store.down = true;
        Node fresh = new Node();
        store.down = false;
        fresh.versions.look();
        assertFalse(fresh.keeper.view().newestTarget("m").orElseThrow().seenNamed());
    }

    /** Whoever asks an agent for chunks names a version; that word must not outlast every process. */
    @Test
    void shouldNotKeepVersionThatOnlyPeerTold() {
        operatorNames(2);
        Node node = new Node();
        node.keeper.want("m", 999);
        node.versions.look();
        assertEquals(2, new Node().newest());
    }

    /** A kept version that is older than the operator's newest was named nobody knows when. */
    @Test
    void shouldNotTakeKeptVersionForNamedNowWhenOperatorNamesNewerOne() {
        operatorNames(3);
        new Node().versions.look();
        operatorNames(4);
        assertEquals(
                List.of(4L),
                new Node()
                        .keeper.view().targets().get("m").stream()
                                .map(View.Target::version)
                                .toList());
    }

    /** Manifests are written by the same operator through the same store as weight versions. */
    @Test
    void shouldKnowNewestManifestWhenOlderOneIsWrittenAfterIt() {
        store.append(Topic.OPERATOR, "config", "{\"version\":2,\"routes\":[],\"services\":[]}");
        Node running = new Node();
        running.versions.look();
        store.append(Topic.OPERATOR, "config", "{\"version\":1,\"routes\":[],\"services\":[]}");
        assertEquals(2, new Node().keeper.view().manifest().orElseThrow().version());
    }

    // -- manifests that an older one hides

    private void operatorSets(long version) {
        store.append(Topic.OPERATOR, "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private static long manifest(ViewMaintainer keeper) {
        return keeper.view().manifest().orElseThrow().version();
    }

    /** The store drops its history after a while; the processes that ran know the record all the same. */
    @Test
    void shouldKnowNewestManifestFromPeerWhenHistoryIsGone() {
        operatorSets(2);
        Node running = new Node();
        running.versions.look();
        operatorSets(1);
        running.follower.once();
        store.historyGone = true;
        ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), steady::get, unix::get);
        Runnable askPeer = () -> {
            TopicReader.Batch told = running.keeper.since(Topic.OPERATOR, fresh.askFrom(Topic.OPERATOR));
            fresh.apply(Topic.OPERATOR, told.records(), told.end());
        };
        VersionPersistence versions = new VersionPersistence(store, store, fresh, () -> VersionPersistence.Duty.NONE, askPeer);
        fresh.replace(
                Topic.OPERATOR,
                versions.newest(Topic.OPERATOR).toOptional().orElseThrow().records(),
                2);
        assertEquals(2, manifest(fresh));
    }

    /** The kept versions may not be readable at the start. */
    @Test
    void shouldRegainNewestManifestWhenItsVersionIsRecalledLater() {
        operatorSets(2);
        new Node().versions.look();
        operatorSets(1);
        store.down = true;
        Node fresh = new Node();
        assertEquals(1, manifest(fresh.keeper));
        store.down = false;
        fresh.versions.look();
        assertEquals(2, manifest(fresh.keeper));
    }

    /** Requests are answered on another thread, by whatever view there is at the moment. */
    @Test
    void shouldNotGoByOlderManifestForAnInstant() throws Exception {
        operatorSets(2);
        new Node().versions.look();
        operatorSets(1);
        for (int i = 0; i < 200; i++) {
            ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), steady::get, unix::get);
            VersionPersistence versions = new VersionPersistence(store, store, fresh, writes::get);
            CompletableFuture<Long> first = CompletableFuture.supplyAsync(() -> {
                while (fresh.view().manifest().isEmpty()) {
                    Thread.onSpinWait();
                }
                return manifest(fresh);
            });
            fresh.replace(
                    Topic.OPERATOR,
                    versions.newest(Topic.OPERATOR).toOptional().orElseThrow().records(),
                    2);
            assertEquals(2, first.get(20, TimeUnit.SECONDS));
        }
    }

    /** All processes may have ended, and the history be gone: then the older manifest is all that is left. */
    @Test
    void shouldGoOnWithOlderManifestWhenNobodyHasNewest() {
        operatorSets(2);
        new Node().versions.look();
        operatorSets(1);
        store.historyGone = true;
        Node fresh = new Node();
        fresh.lookUntilReadNoMore();
        assertEquals(1, manifest(fresh.keeper));
    }

    @Test
    void shouldKeepOnlyWhereNewestManifestStands() {
        Node running = new Node();
        for (long version = 3; version <= 9; version += 3) {
            operatorSets(version);
            running.keeper.apply(
                    Topic.OPERATOR, List.of(store.topics.get(Topic.OPERATOR).getLast()), version);
            running.versions.look();
        }
        assertEquals(
                List.of("manifest/9"),
                store.newest(Topic.NAMED).toOptional().orElseThrow().records().stream()
                        .map(StoredRecord::key)
                        .toList());
    }

    @Test
    void shouldNotKeepManifestWhenOthersDo() {
        writes.set(false);
        operatorSets(2);
        Node node = new Node();
        node.lookUntilReadNoMore();
        assertEquals(0, store.writes, "every process would write at each change of the manifest");
    }

    // -- what still must stop when a found version replaces another

    @Test
    void shouldStillStopVersionsBeforeReplacedOneInTime() {
        ViewMaintainer fresh = new ViewMaintainer(new StoreRecords(), steady::get, unix::get);
        fresh.replace(Topic.NAMED, List.of(record("version/m/3", 0, named("m", 3))), 1);
        pass(5_000);
        fresh.replace(Topic.OPERATOR, List.of(record("version/m", 0, named("m", 4))), 1);
        assertEquals(4, fresh.view().newerNamed("m", 2).orElseThrow().version(), "version 3 is not to be fetched");
        pass(3_001);
        assertEquals(3, fresh.view().leastVersion("m", 8_000, steady.get()), "8 s after version 3 was found");
        pass(5_000);
        assertEquals(4, fresh.view().leastVersion("m", 8_000, steady.get()));
    }

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }
}
