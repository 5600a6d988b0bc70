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

/** Tests how named weight versions are saved and restored with late writes, lost responses and restarting processes. */
class NamedVersionsTest {

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

    /** A process that has read the operator records. */
    private final class Node {

        private final ViewKeeper keeper = new ViewKeeper(new StoreRecords(), steady::get, unix::get);
        private final NamedVersions versions = new NamedVersions(store, store, keeper, writes::get);
        private final StoreFollower follower = new StoreFollower(
                Topic.OPERATOR,
                versions,
                keeper,
                topic -> {},
                new StoreFollower.Pace(Duration.ofMillis(10), Duration.ofMillis(5)));

        private Node() {
            follower.once();
        }

        /** The saved versions are read several times after startup. */
        private void lookUntilReadNoMore() {
            for (int i = 0; i < 40; i++) {
                versions.look();
            }
        }

        /** Reads the record of a version that was just named. */
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
                "an older version would be allowed to serve until its bound has passed");
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
        assertEquals(2, fresh.newest(), "a manifest must not be delayed by what only protects against late writes");
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
                "a record that was read since may have replaced a newer version");
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

    // -- the time at which a version was named

    private void pass(long millis) {
        steady.addAndGet(millis);
        unix.addAndGet(millis);
    }

    private long least(Node node) {
        return node.keeper.view().leastVersion("m", 8_000, steady.get());
    }

    /** A running process observes that version 2 is named, and saves it. */
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
        assertEquals(2, least(fresh), "8.1 s after the version was named");
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
                0, least(new Node()), "the time at which the version was named is unknown");
    }

    // -- effects that saved versions must not have

    /** A version is saved half a second after it was named at the earliest, and a process may start before that. */
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

    /** The time of naming is unknown, so older versions must not be allowed for another bound. */
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

    /** A request for chunks from an agent states a version, which must not be saved for all later processes. */
    @Test
    void shouldNotKeepVersionThatOnlyPeerTold() {
        operatorNames(2);
        Node node = new Node();
        node.keeper.want("m", 999);
        node.versions.look();
        assertEquals(2, new Node().newest());
    }

    /** The time at which a saved version was named is unknown if it is older than the newest operator record. */
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

    /** The same operator writes manifests and weight versions through the same store. */
    @Test
    void shouldKnowNewestManifestWhenOlderOneIsWrittenAfterIt() {
        store.append(Topic.OPERATOR, "config", "{\"version\":2,\"routes\":[],\"services\":[]}");
        Node running = new Node();
        running.versions.look();
        store.append(Topic.OPERATOR, "config", "{\"version\":1,\"routes\":[],\"services\":[]}");
        assertEquals(2, new Node().keeper.view().manifest().orElseThrow().version());
    }

    // -- manifests replaced by an older one

    private void operatorSets(long version) {
        store.append(Topic.OPERATOR, "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private static long manifest(ViewKeeper keeper) {
        return keeper.view().manifest().orElseThrow().version();
    }

    /** The store deletes its history after a while; processes that were running still have the record. */
    @Test
    void shouldKnowNewestManifestFromPeerWhenHistoryIsGone() {
        operatorSets(2);
        Node running = new Node();
        running.versions.look();
        operatorSets(1);
        running.follower.once();
        store.historyGone = true;
        ViewKeeper fresh = new ViewKeeper(new StoreRecords(), steady::get, unix::get);
        Runnable askPeer = () -> {
            TopicReader.Batch told = running.keeper.since(Topic.OPERATOR, fresh.askFrom(Topic.OPERATOR));
            fresh.apply(Topic.OPERATOR, told.records(), told.end());
        };
        NamedVersions versions = new NamedVersions(store, store, fresh, () -> NamedVersions.Duty.NONE, askPeer);
        fresh.replace(
                Topic.OPERATOR,
                versions.newest(Topic.OPERATOR).toOptional().orElseThrow().records(),
                2);
        assertEquals(2, manifest(fresh));
    }

    /** The saved versions may be unreadable at startup. */
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

    /** Requests are handled on another thread, with whichever view is current. */
    @Test
    void shouldNotGoByOlderManifestForAnInstant() throws Exception {
        operatorSets(2);
        new Node().versions.look();
        operatorSets(1);
        for (int i = 0; i < 200; i++) {
            ViewKeeper fresh = new ViewKeeper(new StoreRecords(), steady::get, unix::get);
            NamedVersions versions = new NamedVersions(store, store, fresh, writes::get);
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

    /** If all processes have ended and the history is gone, only the older manifest remains. */
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
        assertEquals(0, store.writes, "otherwise every process would write on each change of the manifest");
    }

    // -- deadlines of superseded targets

    @Test
    void shouldStillStopVersionsBeforeReplacedOneInTime() {
        ViewKeeper fresh = new ViewKeeper(new StoreRecords(), steady::get, unix::get);
        fresh.replace(Topic.NAMED, List.of(record("version/m/3", 0, named("m", 3))), 1);
        pass(5_000);
        fresh.replace(Topic.OPERATOR, List.of(record("version/m", 0, named("m", 4))), 1);
        assertEquals(4, fresh.view().newerNamed("m", 2).orElseThrow().version(), "version 3 must not be fetched");
        pass(3_001);
        assertEquals(3, fresh.view().leastVersion("m", 8_000, steady.get()), "8 s after version 3 was first read");
        pass(5_000);
        assertEquals(4, fresh.view().leastVersion("m", 8_000, steady.get()));
    }

    private static StoredRecord record(String key, long offset, String value) {
        return new StoredRecord(key, offset, value.getBytes(StandardCharsets.UTF_8));
    }
}
