package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/**
 * A fleet of 18 entries and 120 agents made 200 calls of the store a second, most of them agents' reads that found nothing. What
 * agents are told must neither cost them news nor keep them from the store when nobody tells.
 */
@Timeout(30)
class PeerFirstReaderTest {

    private static final Duration HOLD = Duration.ofMillis(50);
    private static final String PEER = "10.0.0.1:8000";
    private static final String OTHER = "10.0.0.2:8000";
    private static final StoredRecord RECORD = new StoredRecord("config", 7, "{}".getBytes(StandardCharsets.UTF_8));

    private final AtomicLong now = new AtomicLong(1_000);
    private final List<String> asked = new ArrayList<>();
    private Result<Batch> told = Result.success(new Batch(List.of(RECORD), 8));

    private boolean storeDown;

    private final TopicReader store = new TopicReader() {
        @Override
        public Result<Batch> newest(Topic topic) {
            asked.add("newest");
            return Result.success(new Batch(List.of(), 7));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            asked.add("store");
            if (storeDown) {
                return Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.TIMEOUT, "no answer"));
            }
            return Result.success(new Read.Records(new Batch(List.of(), from)));
        }
    };

    private final PeerFirstReader reader = new PeerFirstReader(
            store,
            (peer, topic, from, within) -> {
                asked.add(peer);
                return told;
            },
            new PeerFirstReader.Role.Agent(),
            now::get);

    private Batch read(long from) {
        return switch (reader.read(Topic.OPERATOR, from, Duration.ZERO)
                .toOptional()
                .orElseThrow()) {
            case Read.Records(Batch batch) -> batch;
            case Read.Expired ignored -> throw new AssertionError("expired");
        };
    }

    @Test
    void shouldReadStoreWhenNobodyTells() {
        read(7);
        assertEquals(List.of("store"), asked);
    }

    @Test
    void shouldAskNobodyWhenThereIsNoNews() {
        reader.told(PEER, new ChangeOffsets(7, 90), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldAskPeerThatKnowsMost() {
        reader.told(OTHER, new ChangeOffsets(8, 0), now.get());
        reader.told(PEER, new ChangeOffsets(9, 0), now.get());
        assertEquals(new Batch(List.of(RECORD), 8), read(7));
        assertEquals(List.of(PEER), asked);
    }

    @Test
    void shouldReadStoreWhenPeersFellSilent() {
        reader.told(PEER, new ChangeOffsets(7, 0), now.get());
        now.addAndGet(1_000);
        read(7);
        assertEquals(List.of("store"), asked);
    }

    @Test
    void shouldReadStoreWhenPeerDoesNotAnswer() {
        told = Result.failure(Fault.of(Fault.Step.READ, PEER, Fault.Reason.TIMEOUT, "no answer"));
        reader.told(PEER, new ChangeOffsets(8, 0), now.get());
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    /** It has not read all that came before, and says that the asker is to read on from where it is. */
    @Test
    void shouldReadStoreWhenPeerKnowsOnlyPart() {
        told = Result.success(new Batch(List.of(), 7));
        reader.told(PEER, new ChangeOffsets(8, 0), now.get());
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    @Test
    void shouldNotAskPeerAgainWhenItDidNotGiveWhatItTold() {
        told = Result.success(new Batch(List.of(), 7));
        reader.told(PEER, new ChangeOffsets(8, 0), now.get());
        reader.told(OTHER, new ChangeOffsets(7, 0), now.get());
        read(7);
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    /** The last a peer told counts, also if it is less: a peer that started again knows less at first. */
    @Test
    void shouldGoByWhatPeerToldLast() {
        reader.told(PEER, new ChangeOffsets(8, 0), now.get());
        reader.told(PEER, new ChangeOffsets(0, 0), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldTellTopicsApart() {
        told = Result.success(new Batch(List.of(), 90));
        reader.told(PEER, new ChangeOffsets(7, 90), now.get());
        reader.read(Topic.ENDPOINTS, 80, Duration.ZERO);
        assertEquals(List.of(PEER), asked);
    }

    @Test
    void shouldReadStoreAtStartAndForVersionsThatAreKept() {
        reader.told(PEER, new ChangeOffsets(8, 8), now.get());
        reader.newest(Topic.OPERATOR);
        reader.newest(Topic.NAMED);
        assertEquals(List.of("newest", "newest"), asked);
    }

    @Test
    void shouldReadAtOnceWhenNewsIsToldWhileItWaits() throws Exception {
        reader.told(PEER, new ChangeOffsets(7, 0), now.get());
        CompletableFuture<Read> waiting = CompletableFuture.supplyAsync(() ->
                reader.read(Topic.OPERATOR, 7, Duration.ofDays(1)).toOptional().orElseThrow());
        reader.told(PEER, new ChangeOffsets(8, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), waiting.get(20, TimeUnit.SECONDS));
    }

    @Test
    void shouldEndWaitWhenItsTimeIsOver() {
        PeerFirstReader onRealTime = new PeerFirstReader(
                store,
                (peer, topic, from, within) -> told,
                new PeerFirstReader.Role.Agent(),
                () -> System.nanoTime() / 1_000_000);
        onRealTime.told(PEER, new ChangeOffsets(7, 0), now.get());
        assertEquals(
                new Read.Records(new Batch(List.of(), 7)),
                onRealTime.read(Topic.OPERATOR, 7, HOLD).toOptional().orElseThrow());
    }

    // -- agents

    /** A change of routes or keys is no news to an agent; each was a copy of the manifest for each of 30 agents of a region. */
    @Test
    void shouldNotReadManifestWhenItChangesNothingThatAgentsActOn() {
        reader.told(PEER, new ChangeOffsets(9, 0, 7), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), asked);
    }

    /** The newest record of a model alone may name an older version, which was written late. */
    @Test
    void shouldReadAllThatWasPassedOverWhenNobodyTells() {
        reader.told(PEER, new ChangeOffsets(9, 0, 7), now.get());
        now.addAndGet(1_000);
        read(7);
        read(9);
        assertEquals(List.of("store", "store"), asked);
    }

    // -- entries

    private static final String SELF = "10.0.0.1:9000";
    private static final long TRUST_MILLIS = 1_500;

    private final PeerFirstReader entry = new PeerFirstReader(
            store,
            (peer, topic, from, within) -> {
                asked.add(peer);
                return told;
            },
            new PeerFirstReader.Role.Entry(SELF, TRUST_MILLIS),
            now::get);

    private Read readByEntry(long from) {
        return entry.read(Topic.OPERATOR, from, Duration.ZERO).toOptional().orElseThrow();
    }

    @Test
    void shouldGoByReaderOfRegionWhenItComesBefore() {
        entry.told(PEER, new ChangeOffsets(8, 0, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), readByEntry(7));
        assertEquals(List.of(PEER), asked);
        assertFalse(entry.direct());
    }

    /** Two entries that went by each other would both learn nothing. */
    @Test
    void shouldReadStoreWhenReaderOfRegionComesAfter() {
        entry.told("10.0.0.2:8000", new ChangeOffsets(8, 0), now.get());
        readByEntry(7);
        assertEquals(List.of("store"), asked);
        assertTrue(entry.direct());
    }

    /** The reader still tells, but has not heard of the store for long: its connection may have fallen silent. */
    @Test
    void shouldReadStoreWhenWhatReaderKnowsIsOld() {
        entry.told(PEER, new ChangeOffsets(7, 0), now.get() - TRUST_MILLIS);
        readByEntry(7);
        assertEquals(List.of("store"), asked);
    }

    @Test
    void shouldReadStoreWhenReaderTellsNoMore() {
        entry.told(PEER, new ChangeOffsets(7, 0), now.get());
        readByEntry(7);
        now.addAndGet(1_000);
        readByEntry(7);
        assertEquals(List.of("store"), asked);
    }

    /** An entry that the store turns away hears of changes from any entry that it does not. */
    @Test
    void shouldGoByAnyReaderWhenStoreDoesNotAnswer() {
        storeDown = true;
        entry.read(Topic.OPERATOR, 7, Duration.ZERO);
        entry.told("10.0.0.2:8000", new ChangeOffsets(8, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), readByEntry(7));
        assertEquals(List.of("store", "10.0.0.2:8000"), asked);
        assertFalse(entry.direct());
    }

    /**
     * What the reader of the region knew last was a whole trust ago when nobody's word counts any more. Held for a whole hold then,
     * the read ends when that is older than a manifest may be, though the store answers all the time.
     */
    @Test
    void shouldKnowWithinBoundWhenReaderOfRegionFellSilentInQuietTimes() {
        long boundMillis = 2_000;
        Duration hold = Duration.ofMillis(1_000);
        AtomicLong waited = new AtomicLong();
        TopicReader quiet = new TopicReader() {
            @Override
            public Result<Batch> newest(Topic topic) {
                return Result.success(new Batch(List.of(), 7));
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                waited.set(wait.toMillis());
                return Result.success(new Read.Records(new Batch(List.of(), from)));
            }
        };
        PeerFirstReader led = new PeerFirstReader(
                quiet, (peer, topic, from, within) -> told, new PeerFirstReader.Role.Entry(SELF, TRUST_MILLIS), now::get);
        long asOf = now.get();
        led.told(PEER, new ChangeOffsets(7, 0), asOf);
        now.addAndGet(TRUST_MILLIS);
        led.read(Topic.OPERATOR, 7, hold);
        long age = now.get() + waited.get() - asOf;
        assertTrue(age <= boundMillis, "all was known " + age + " ms ago when the store answers");
    }

    /**
     * A reader whose link is full gives its answer piece by piece, for as long as an answer may take: ten seconds. It gets no longer
     * than its word counts, and then the store is read.
     */
    @Test
    void shouldReadStoreWhenReaderOfRegionDoesNotEndItsAnswerWhileItsWordCounts() {
        List<Duration> allowed = new ArrayList<>();
        PeerFirstReader.Peers slow = (peer, topic, from, within) -> {
            allowed.add(within);
            return Result.failure(Fault.of(Fault.Step.READ, peer, Fault.Reason.TIMEOUT, "the answer stopped"));
        };
        PeerFirstReader led = new PeerFirstReader(store, slow, new PeerFirstReader.Role.Entry(SELF, TRUST_MILLIS), now::get);
        led.told(PEER, new ChangeOffsets(8, 0), now.get() - 1_000);
        led.read(Topic.OPERATOR, 7, HOLD);
        assertEquals(List.of(Duration.ofMillis(TRUST_MILLIS - 1_000)), allowed);
        assertEquals(List.of("store"), asked);
    }

    /** Entries whose own reads trickle are in touch and tell on, of what was known long ago, without a weight version named since. */
    @Test
    void shouldReadStoreByAgentWhenWhatEntriesKnowIsOld() {
        reader.told(PEER, new ChangeOffsets(7, 0), now.get() - 10_000);
        read(7);
        assertEquals(List.of("store"), asked);
    }

    /**
     * Manifests 1 (other services), 2 and 3 stand at 0 to 2, and 1 was written once more, late, at 3. Entries tell that services
     * changed at 1; an agent that starts knows from what is kept that 3 stands at 2, and that is no news by what they tell.
     */
    @Test
    void shouldFindHiddenManifestByAgentWhenEntriesTellThatServicesChangedBeforeIt() {
        ViewMaintainer keeper = new ViewMaintainer(new StoreRecords(), now::get);
        StoredRecord third = new StoredRecord("config", 2, manifest(3));
        TopicReader history = new TopicReader() {
            @Override
            public Result<Batch> newest(Topic topic) {
                byte[] place = "{\"version\":3,\"offset\":2}".getBytes(StandardCharsets.UTF_8);
                return Result.success(
                        topic == Topic.NAMED
                                ? new Batch(List.of(new StoredRecord(VersionKeys.ofManifest(3), 0, place)), 1)
                                : new Batch(List.of(new StoredRecord("config", 3, manifest(1))), 4));
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                return Result.success(new Read.Records(new Batch(List.of(third), 3)));
            }
        };
        PeerFirstReader agent = new PeerFirstReader(
                history,
                (peer, topic, from, within) -> Result.success(new Batch(List.of(third), 4)),
                new PeerFirstReader.Role.Agent(),
                now::get);
        VersionPersistence versions = new VersionPersistence(
                agent, unkept -> Result.success(List.of()), keeper, () -> VersionPersistence.Duty.NONE, () -> {});
        agent.told(PEER, new ChangeOffsets(4, 0, 2), now.get());
        Batch newest = versions.newest(Topic.OPERATOR).toOptional().orElseThrow();
        assertTrue(newest.records().contains(third), "found: " + newest.records());
    }

    private static byte[] manifest(long version) {
        return ("{\"version\":" + version + ",\"routes\":[],\"services\":[]}").getBytes(StandardCharsets.UTF_8);
    }
}
