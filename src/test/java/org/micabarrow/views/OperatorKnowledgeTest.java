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

/** Up to which moment a process knows all that operators wrote. */
class OperatorKnowledgeTest {

    private static final Duration HOLD = Duration.ofMillis(10);
    private static final Duration REST = Duration.ofMillis(5);

    private final ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), () -> 0);

    private static StoredRecord manifest(long version, long offset) {
        String json = "{\"version\":" + version + ",\"routes\":[],\"services\":[]}";
        return new StoredRecord("config", offset, json.getBytes(StandardCharsets.UTF_8));
    }

    /** What a process keeps of where a manifest stands. */
    private static StoredRecord kept(long version, long offset) {
        String json = "{\"version\":" + version + ",\"offset\":" + offset + "}";
        return new StoredRecord(VersionKeys.ofManifest(version), 0, json.getBytes(StandardCharsets.UTF_8));
    }

    // -- what is confirmed

    @Test
    void shouldKnowOfNoMomentWhenNothingWasConfirmed() {
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
        keeper.apply(Topic.OPERATOR, List.of(manifest(1, 0)), 1);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis(), "records tell nothing of others");
    }

    @Test
    void shouldKeepLatestMomentWhenEarlierOneIsConfirmedAfterIt() {
        keeper.confirmOperator(-7);
        assertEquals(OptionalLong.of(-7), keeper.operatorAsOfMillis());
        keeper.confirmOperator(90);
        keeper.confirmOperator(40);
        assertEquals(OptionalLong.of(90), keeper.operatorAsOfMillis());
    }

    /** An older manifest that was written late hides the newest: all records are known, and what they say is not. */
    @Test
    void shouldKnowOfNoMomentWhileManifestIsLacking() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        keeper.confirmOperator(90);
        keeper.apply(Topic.NAMED, List.of(kept(2, 5)), 1);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
        keeper.confirmOperator(95);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
        keeper.apply(Topic.OPERATOR, List.of(manifest(2, 5)), 0);
        assertEquals(OptionalLong.of(95), keeper.operatorAsOfMillis());
    }

    @Test
    void shouldKnowOfNoMomentWhenLackingManifestIsToldAtTheStart() {
        keeper.replace(Topic.NAMED, List.of(kept(2, 5)), 1);
        keeper.replace(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        keeper.confirmOperator(90);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
        keeper.apply(Topic.OPERATOR, List.of(manifest(3, 7)), 8);
        assertEquals(OptionalLong.of(90), keeper.operatorAsOfMillis(), "a newer one makes up for it");
    }

    @Test
    void shouldTellOthersUpToWhichMomentOnlyOfOperatorsRecords() {
        keeper.confirmOperator(90);
        assertEquals(OptionalLong.of(90), keeper.since(Topic.OPERATOR, 0).asOfMillis());
        assertEquals(OptionalLong.empty(), keeper.since(Topic.ENDPOINTS, 0).asOfMillis());
        assertEquals(OptionalLong.empty(), keeper.since(Topic.NAMED, 0).asOfMillis());
    }

    // -- following the store

    /** A store whose answers are laid out beforehand; when there are none left, it does not answer. */
    private static final class LaidOut implements TopicReader {

        private final List<Result<Read>> reads = new ArrayList<>();
        private final List<Duration> waits = new ArrayList<>();

        @Override
        public Result<Batch> newest(Topic topic) {
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

        private void next(long end, OptionalLong asOf, StoredRecord... records) {
            reads.add(Result.success(new Read.Records(new Batch(List.of(records), end, asOf))));
        }
    }

    private final LaidOut store = new LaidOut();

    private StoreFollower follower(Topic topic) {
        VersionPersistence versions = new VersionPersistence(
                store, unkept -> Result.success(List.of()), keeper, () -> VersionPersistence.Duty.NONE, () -> {});
        return new StoreFollower(topic, versions, keeper, asked -> {}, new StoreFollower.Pace(HOLD, REST));
    }

    @Test
    void shouldKnowAllUntilNewestWereAskedFor() {
        follower(Topic.OPERATOR).once();
        assertEquals(OptionalLong.of(100), keeper.operatorAsOfMillis());
    }

    @Test
    void shouldKnowWhatEachReadTells() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.once();
        store.next(1, OptionalLong.of(110));
        follower.once();
        assertEquals(OptionalLong.of(110), keeper.operatorAsOfMillis());
        store.next(2, OptionalLong.empty(), manifest(2, 1));
        follower.once();
        assertEquals(OptionalLong.of(110), keeper.operatorAsOfMillis(), "it broke off before the end");
        follower.once();
        assertEquals(OptionalLong.of(110), keeper.operatorAsOfMillis(), "the store did not answer");
    }

    /** The store answers a held read with the first record that comes: what came after is known only when it is read again. */
    @Test
    void shouldReadOnceMoreAtOnceWithoutWaitWhenRecordsCame() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.once();
        store.next(2, OptionalLong.of(110), manifest(2, 1));
        assertEquals(0, follower.once(), "at once");
        store.next(2, OptionalLong.of(120));
        assertEquals(0, follower.once());
        assertEquals(OptionalLong.of(120), keeper.operatorAsOfMillis());
        store.next(2, OptionalLong.of(130));
        follower.once();
        assertEquals(List.of(HOLD, Duration.ZERO, HOLD), store.waits);
    }

    /** While records come without a pause, every second read is held: that one comes at once too. */
    @Test
    void shouldHoldReadAgainWhenRecordsCameInReadThatWasNotHeld() {
        StoreFollower follower = follower(Topic.OPERATOR);
        follower.once();
        for (int offset = 1; offset <= 4; offset++) {
            store.next(offset + 1, OptionalLong.of(100 + offset), manifest(offset + 1, offset));
        }
        assertEquals(0, follower.once());
        assertEquals(REST.toMillis(), follower.once());
        assertEquals(0, follower.once());
        assertEquals(REST.toMillis(), follower.once());
        assertEquals(List.of(HOLD, Duration.ZERO, HOLD, Duration.ZERO), store.waits);
    }

    /** Endpoints write their entries again and again; nothing is refused by how old those are. */
    @Test
    void shouldNeitherReadOnceMoreNorConfirmWhenEndpointsWrote() {
        StoreFollower follower = follower(Topic.ENDPOINTS);
        follower.once();
        store.next(1, OptionalLong.of(110), new StoredRecord("a", 0, new byte[0]));
        assertEquals(REST.toMillis(), follower.once());
        store.next(1, OptionalLong.of(120));
        follower.once();
        assertEquals(List.of(HOLD, HOLD), store.waits);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
    }

    /** The newest manifest is read from the history and added to the newest records, which are as of the moment they were. */
    @Test
    void shouldKeepMomentWhenHiddenManifestIsAdded() {
        keeper.apply(Topic.NAMED, List.of(kept(2, 5)), 1);
        store.next(6, OptionalLong.of(90), manifest(2, 5));
        follower(Topic.OPERATOR).once();
        assertEquals(2, keeper.view().manifest().orElseThrow().version());
        assertEquals(OptionalLong.of(100), keeper.operatorAsOfMillis());
    }

    /** A manifest that cannot be used is in force for operators, and what it allows is not known here. */
    @Test
    void shouldKnowOfNoMomentWhileNewestManifestCannotBeUsed() {
        keeper.apply(Topic.OPERATOR, List.of(manifest(1, 0)), 1);
        keeper.apply(Topic.OPERATOR, List.of(new StoredRecord("config", 1, "{".getBytes(StandardCharsets.UTF_8))), 2);
        keeper.confirmOperator(90);
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
        keeper.apply(Topic.OPERATOR, List.of(manifest(3, 2)), 3);
        assertEquals(OptionalLong.of(90), keeper.operatorAsOfMillis(), "a newer one makes up for it");
    }

    /**
     * A process started after an older manifest was written late, was told where the newest stands before that was kept, and has
     * not got it: what it knows of is no manifest that it has.
     */
    @Test
    void shouldLackManifestWhenPeerToldItsPlaceOnly() {
        keeper.replace(Topic.OPERATOR, List.of(manifest(1, 6)), 7);
        keeper.confirmOperator(90);
        keeper.manifestStands(new ManifestPosition(2, 5));
        keeper.apply(Topic.NAMED, List.of(kept(2, 5)), 1);
        assertEquals(OptionalLong.of(5), keeper.lackingManifest());
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
    }

    /** A manifest may be hidden behind an older one that was written late, which only what is kept tells. */
    @Test
    void shouldKnowOfNoMomentWhileWhatIsKeptCouldNotBeRead() {
        TopicReader withoutKept = new TopicReader() {
            @Override
            public Result<Batch> newest(Topic topic) {
                return topic == Topic.NAMED
                        ? Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.OVERLOADED, "refused"))
                        : store.newest(topic);
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                return store.read(topic, from, wait);
            }
        };
        VersionPersistence versions = new VersionPersistence(
                withoutKept, unkept -> Result.success(List.of()), keeper, () -> VersionPersistence.Duty.NONE, () -> {});
        new StoreFollower(Topic.OPERATOR, versions, keeper, asked -> {}, new StoreFollower.Pace(HOLD, REST)).once();
        assertEquals(1, keeper.view().manifest().orElseThrow().version());
        assertEquals(OptionalLong.empty(), keeper.operatorAsOfMillis());
    }
}
