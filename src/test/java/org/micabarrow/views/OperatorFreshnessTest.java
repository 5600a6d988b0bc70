package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** Tests up to which time a process knows all operator records. */
class OperatorFreshnessTest {

    private static final Duration HOLD = Duration.ofMillis(10);
    private static final Duration PAUSE = Duration.ofMillis(5);

    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), () -> 0);

    private static StoredRecord manifest(long version, long offset) {
        String json = "{\"version\":" + version + ",\"routes\":[],\"services\":[]}";
        return new StoredRecord("config", offset, json.getBytes(StandardCharsets.UTF_8));
    }

    /** A saved manifest position. */
    private static StoredRecord savedPosition(long version, long offset) {
        String json = "{\"version\":" + version + ",\"offset\":" + offset + "}";
        return new StoredRecord(VersionKeys.ofManifest(version), 0, json.getBytes(StandardCharsets.UTF_8));
    }

    // -- confirmed times

    @Test
    void shouldHaveNoTimeWhenNothingWasConfirmed() {
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.apply(Topic.OPERATOR, List.of(manifest(1, 0)), 1);
        assertEquals(
                OptionalLong.empty(), views.operatorAsOfMillis(), "a record does not prove that there are no others");
    }

    @Test
    void shouldKeepLatestTimeWhenEarlierOneIsConfirmedLater() {
        views.confirmOperator(views.end(Topic.OPERATOR), -7);
        assertEquals(OptionalLong.of(-7), views.operatorAsOfMillis());
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        views.confirmOperator(views.end(Topic.OPERATOR), 40);
        assertEquals(OptionalLong.of(90), views.operatorAsOfMillis());
    }

    /**
     * If an older manifest that was written late replaced the newest one, all records are known, but the newest
     * manifest is not.
     */
    @Test
    void shouldHaveNoTimeWhileManifestIsMissing() {
        views.apply(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        views.apply(Topic.NAMED, List.of(savedPosition(2, 5)), 1);
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.confirmOperator(views.end(Topic.OPERATOR), 95);
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.apply(Topic.OPERATOR, List.of(manifest(2, 5)), 0);
        assertEquals(OptionalLong.of(95), views.operatorAsOfMillis());
    }

    @Test
    void shouldHaveNoTimeWhenMissingManifestIsKnownAtStartup() {
        views.replace(Topic.NAMED, List.of(savedPosition(2, 5)), 1);
        views.replace(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.apply(Topic.OPERATOR, List.of(manifest(3, 7)), 8);
        assertEquals(OptionalLong.of(90), views.operatorAsOfMillis(), "a newer manifest replaces the missing one");
    }

    @Test
    void shouldReturnTimeToPeersForOperatorRecordsOnly() {
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        assertEquals(OptionalLong.of(90), views.since(Topic.OPERATOR, 0).asOfMillis());
        assertEquals(OptionalLong.empty(), views.since(Topic.ENDPOINTS, 0).asOfMillis());
        assertEquals(OptionalLong.empty(), views.since(Topic.NAMED, 0).asOfMillis());
    }

    // -- following the store

    /** A store with predefined responses; it does not respond when none are left. */
    private static final class ScriptedStore implements TopicReader {

        private final List<Result<Read>> reads = new ArrayList<>();
        private final List<Duration> waits = new ArrayList<>();

        @Override
        public Result<Batch> readLatest(Topic topic) {
            return topic == Topic.OPERATOR
                    ? Result.success(new Batch(List.of(manifest(1, 0)), 1, OptionalLong.of(100)))
                    : Result.success(new Batch(List.of(), 0));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            waits.add(wait);
            return reads.isEmpty()
                    ? Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.OVERLOADED, "refused"))
                    : reads.removeFirst();
        }

        private void addResponse(long end, OptionalLong asOf, StoredRecord... records) {
            reads.add(Result.success(new Read.Records(new Batch(List.of(records), end, asOf))));
        }
    }

    private final ScriptedStore store = new ScriptedStore();

    private StoreFollower follower(Topic topic) {
        VersionPersistence versions = new VersionPersistence(
                store,
                (item, readTo) -> Result.success(List.of()),
                views,
                () -> VersionPersistence.WriteRole.NONE,
                () -> {});
        return new StoreFollower(topic, versions, views, queried -> {}, new StoreFollower.PollTiming(HOLD, PAUSE));
    }

    @Test
    void shouldConfirmTimeOfReadWhenLatestRecordsAreRead() {
        follower(Topic.OPERATOR).readOnce();
        assertEquals(OptionalLong.of(100), views.operatorAsOfMillis());
    }

    @Test
    void shouldConfirmTimeOfEachRead() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.readOnce();
        store.addResponse(1, OptionalLong.of(110));
        follower.readOnce();
        assertEquals(OptionalLong.of(110), views.operatorAsOfMillis());
        store.addResponse(2, OptionalLong.empty(), manifest(2, 1));
        follower.readOnce();
        assertEquals(OptionalLong.of(110), views.operatorAsOfMillis(), "the read ended before the end of the topic");
        follower.readOnce();
        assertEquals(OptionalLong.of(110), views.operatorAsOfMillis(), "the store did not respond");
    }

    /**
     * The store responds to a held read with the first record that arrives; later records are known only after the next
     * read.
     */
    @Test
    void shouldReadAgainAtOnceWithoutHoldWhenRecordsArrived() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.readOnce();
        store.addResponse(2, OptionalLong.of(110), manifest(2, 1));
        assertEquals(0, follower.readOnce(), "at once");
        store.addResponse(2, OptionalLong.of(120));
        assertEquals(0, follower.readOnce());
        assertEquals(OptionalLong.of(120), views.operatorAsOfMillis());
        store.addResponse(2, OptionalLong.of(130));
        follower.readOnce();
        assertEquals(List.of(HOLD, Duration.ZERO, HOLD), store.waits);
    }

    /** While records arrive continuously, every second read is held; it also returns at once. */
    @Test
    void shouldHoldNextReadWhenRecordsArrivedInReadWithoutHold() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.readOnce();
        for (int offset = 1; offset <= 4; offset++) {
            store.addResponse(offset + 1, OptionalLong.of(100 + offset), manifest(offset + 1, offset));
        }
        assertEquals(0, follower.readOnce());
        assertEquals(PAUSE.toMillis(), follower.readOnce());
        assertEquals(0, follower.readOnce());
        assertEquals(PAUSE.toMillis(), follower.readOnce());
        assertEquals(List.of(HOLD, Duration.ZERO, HOLD, Duration.ZERO), store.waits);
    }

    /** Endpoints write their entries repeatedly; no request is refused because of their age. */
    @Test
    void shouldNeitherReadAgainNorConfirmWhenEndpointsWrote() {
        StoreFollower follower = follower(Topic.ENDPOINTS);
        follower.readOnce();
        store.addResponse(1, OptionalLong.of(110), new StoredRecord("a", 0, new byte[0]));
        assertEquals(PAUSE.toMillis(), follower.readOnce());
        store.addResponse(1, OptionalLong.of(120));
        follower.readOnce();
        assertEquals(List.of(HOLD, HOLD), store.waits);
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
    }

    /**
     * The newest manifest is read from the history and added to the latest records, which keep the time at which they
     * were read.
     */
    @Test
    void shouldKeepTimeWhenReplacedManifestIsAdded() {
        views.apply(Topic.NAMED, List.of(savedPosition(2, 5)), 1);
        store.addResponse(6, OptionalLong.of(90), manifest(2, 5));
        follower(Topic.OPERATOR).readOnce();
        assertEquals(2, views.view().manifest().orElseThrow().version());
        assertEquals(OptionalLong.of(100), views.operatorAsOfMillis());
    }

    /** An invalid manifest is active for operators, but what it allows is unknown here. */
    @Test
    void shouldHaveNoTimeWhileNewestManifestIsInvalid() {
        views.apply(Topic.OPERATOR, List.of(manifest(1, 0)), 1);
        views.apply(Topic.OPERATOR, List.of(new StoredRecord("config", 1, "{".getBytes(StandardCharsets.UTF_8))), 2);
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
        views.apply(Topic.OPERATOR, List.of(manifest(3, 2)), 3);
        assertEquals(OptionalLong.of(90), views.operatorAsOfMillis(), "a newer manifest replaces the missing one");
    }

    /**
     * A process that started after an older manifest was written late learned the position of the newest one from a peer before
     * that position was saved, and has not received the manifest: the manifest is missing although its position is
     * known.
     */
    @Test
    void shouldLackManifestWhenPeerReportedOnlyItsPosition() {
        views.replace(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        views.confirmOperator(views.end(Topic.OPERATOR), 90);
        views.recordManifestPosition(new ManifestPosition(2, 5));
        views.apply(Topic.NAMED, List.of(savedPosition(2, 5)), 1);
        assertEquals(OptionalLong.of(5), views.missingManifestOffset());
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
    }

    /** A manifest may have been replaced by an older one that was written late, which only the saved items reveal. */
    @Test
    void shouldHaveNoTimeWhileSavedItemsAreUnreadable() {
        TopicReader withoutSaved = new TopicReader() {
            @Override
            public Result<Batch> readLatest(Topic topic) {
                return topic == Topic.NAMED
                        ? Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.OVERLOADED, "refused"))
                        : store.readLatest(topic);
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                return store.read(topic, from, wait);
            }
        };
        VersionPersistence versions = new VersionPersistence(
                withoutSaved,
                (item, readTo) -> Result.success(List.of()),
                views,
                () -> VersionPersistence.WriteRole.NONE,
                () -> {});
        new StoreFollower(Topic.OPERATOR, versions, views, topic -> {}, new StoreFollower.PollTiming(HOLD, PAUSE))
                .readOnce();
        assertEquals(1, views.view().manifest().orElseThrow().version());
        assertEquals(OptionalLong.empty(), views.operatorAsOfMillis());
    }
}
