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
 * Tests when topics are read from peers and when from the store. Before agents received updates, 18 entries and 120
 * agents sent 200 requests a second to the store, most of them reads by agents that found nothing. Relying on updates
 * must neither make agents miss records nor keep them from reading the store when no updates arrive.
 */
@Timeout(30)
class PeerFirstReaderTest {

    private static final Duration HOLD = Duration.ofMillis(50);
    private static final String PEER = "10.0.0.1:8000";
    private static final String OTHER_PEER = "10.0.0.2:8000";
    private static final StoredRecord RECORD = new StoredRecord("config", 7, "{}".getBytes(StandardCharsets.UTF_8));

    private final AtomicLong now = new AtomicLong(1_000);
    private final List<String> requests = new ArrayList<>();
    private Result<Batch> peerResponse = Result.success(new Batch(List.of(RECORD), 8));

    private boolean storeDown;

    private final TopicReader store = new TopicReader() {
        @Override
        public Result<Batch> readLatest(Topic topic) {
            requests.add("newest");
            return Result.success(new Batch(List.of(), 7));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            requests.add("store");
            if (storeDown) {
                return Result.failure(Fault.of(Fault.Step.LOG, "store", Fault.Reason.TIMEOUT, "no answer"));
            }
            return Result.success(new Read.Records(new Batch(List.of(), from)));
        }
    };

    private final PeerFirstReader reader = new PeerFirstReader(
            store,
            (peer, topic, from, timeout) -> {
                requests.add(peer);
                return peerResponse;
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
    void shouldReadStoreWhenNoUpdatesArrive() {
        read(7);
        assertEquals(List.of("store"), requests);
    }

    @Test
    void shouldSendNoRequestWhenNothingIsNewer() {
        reader.onUpdate(PEER, new ChangeOffsets(7, 90), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), requests);
    }

    @Test
    void shouldReadStoreWhenPeerIsOfEarlierEra() {
        reader.onUpdate(PEER, new ChangeOffsets(9, 90), now.get());
        read(EraOffset.of(1, 3));
        assertEquals(List.of("store"), requests);
        reader.onUpdate(PEER, new ChangeOffsets(EraOffset.of(1, 2), 90), now.get());
        read(EraOffset.of(1, 3));
        assertEquals(List.of("store"), requests, "the peer knows nothing newer");
    }

    @Test
    void shouldReadFromPeerOfLaterEra() {
        peerResponse = Result.success(new Batch(List.of(RECORD), EraOffset.of(1, 2)));
        reader.onUpdate(PEER, new ChangeOffsets(EraOffset.of(1, 2), 0), now.get());
        assertEquals(EraOffset.of(1, 2), read(90).end());
        assertEquals(List.of(PEER), requests);
    }

    @Test
    void shouldReadFromPeerWithNewestRecords() {
        reader.onUpdate(OTHER_PEER, new ChangeOffsets(8, 0), now.get());
        reader.onUpdate(PEER, new ChangeOffsets(9, 0), now.get());
        assertEquals(new Batch(List.of(RECORD), 8), read(7));
        assertEquals(List.of(PEER), requests);
    }

    @Test
    void shouldReadStoreWhenUpdatesHaveExpired() {
        reader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get());
        now.addAndGet(1_000);
        read(7);
        assertEquals(List.of("store"), requests);
    }

    @Test
    void shouldReadStoreWhenPeerDoesNotRespond() {
        peerResponse = Result.failure(Fault.of(Fault.Step.READ, PEER, Fault.Reason.TIMEOUT, "no answer"));
        reader.onUpdate(PEER, new ChangeOffsets(8, 0), now.get());
        read(7);
        assertEquals(List.of(PEER, "store"), requests);
    }

    /** The peer has not read all earlier records and returns the requested offset as the offset to continue from. */
    @Test
    void shouldReadStoreWhenPeerLacksEarlierRecords() {
        peerResponse = Result.success(new Batch(List.of(), 7));
        reader.onUpdate(PEER, new ChangeOffsets(8, 0), now.get());
        read(7);
        assertEquals(List.of(PEER, "store"), requests);
    }

    @Test
    void shouldNotRequestAgainWhenPeerDidNotReturnAnnouncedRecords() {
        peerResponse = Result.success(new Batch(List.of(), 7));
        reader.onUpdate(PEER, new ChangeOffsets(8, 0), now.get());
        reader.onUpdate(OTHER_PEER, new ChangeOffsets(7, 0), now.get());
        read(7);
        read(7);
        assertEquals(List.of(PEER, "store"), requests);
    }

    /**
     * The last update of a peer is the one that counts, even if its offsets are lower: a restarted peer knows less at
     * first.
     */
    @Test
    void shouldUseLastUpdateOfPeer() {
        reader.onUpdate(PEER, new ChangeOffsets(8, 0), now.get());
        reader.onUpdate(PEER, new ChangeOffsets(0, 0), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), requests);
    }

    @Test
    void shouldTrackTopicsSeparately() {
        peerResponse = Result.success(new Batch(List.of(), 90));
        reader.onUpdate(PEER, new ChangeOffsets(7, 90), now.get());
        reader.read(Topic.ENDPOINTS, 80, Duration.ZERO);
        assertEquals(List.of(PEER), requests);
    }

    @Test
    void shouldReadLatestRecordsFromStore() {
        reader.onUpdate(PEER, new ChangeOffsets(8, 8), now.get());
        reader.readLatest(Topic.OPERATOR);
        reader.readLatest(Topic.NAMED);
        assertEquals(List.of("newest", "newest"), requests);
    }

    @Test
    void shouldReadAtOnceWhenUpdateArrivesDuringWait() throws Exception {
        reader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get());
        CompletableFuture<Read> waiting = CompletableFuture.supplyAsync(() ->
                reader.read(Topic.OPERATOR, 7, Duration.ofDays(1)).toOptional().orElseThrow());
        reader.onUpdate(PEER, new ChangeOffsets(8, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), waiting.get(20, TimeUnit.SECONDS));
    }

    @Test
    void shouldEndWaitWhenItTimesOut() {
        PeerFirstReader realTimeReader = new PeerFirstReader(
                store,
                (peer, topic, from, timeout) -> peerResponse,
                new PeerFirstReader.Role.Agent(),
                () -> System.nanoTime() / 1_000_000);
        realTimeReader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get());
        assertEquals(
                new Read.Records(new Batch(List.of(), 7)),
                realTimeReader.read(Topic.OPERATOR, 7, HOLD).toOptional().orElseThrow());
    }

    // -- agents

    /**
     * Agents do not use changes of routes or keys; each such manifest was otherwise copied to each of 30 agents of a
     * region.
     */
    @Test
    void shouldNotReadManifestWhenItChangesNothingThatAgentsUse() {
        reader.onUpdate(PEER, new ChangeOffsets(9, 0, 7), now.get());
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), requests);
    }

    /** The latest record of a model alone may name an older version that was written late. */
    @Test
    void shouldReadSkippedRecordsWhenUpdatesHaveExpired() {
        reader.onUpdate(PEER, new ChangeOffsets(9, 0, 7), now.get());
        now.addAndGet(1_000);
        read(7);
        read(9);
        assertEquals(List.of("store", "store"), requests);
    }

    // -- entries

    private static final String SELF = "10.0.0.1:9000";
    private static final long MAX_AGE_MILLIS = 1_500;

    private final PeerFirstReader entryReader = new PeerFirstReader(
            store,
            (peer, topic, from, timeout) -> {
                requests.add(peer);
                return peerResponse;
            },
            new PeerFirstReader.Role.Entry(SELF, MAX_AGE_MILLIS),
            now::get);

    private Read readByEntry(long from) {
        return entryReader
                .read(Topic.OPERATOR, from, Duration.ZERO)
                .toOptional()
                .orElseThrow();
    }

    @Test
    void shouldReadFromReaderOfRegionWhenItsAddressSortsFirst() {
        entryReader.onUpdate(PEER, new ChangeOffsets(8, 0, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), readByEntry(7));
        assertEquals(List.of(PEER), requests);
        assertFalse(entryReader.readsStoreDirectly());
    }

    /** Two entries that relied on each other would both learn nothing. */
    @Test
    void shouldReadStoreWhenAddressOfReaderSortsLater() {
        entryReader.onUpdate("10.0.0.2:8000", new ChangeOffsets(8, 0), now.get());
        readByEntry(7);
        assertEquals(List.of("store"), requests);
        assertTrue(entryReader.readsStoreDirectly());
    }

    /**
     * The reader still sends updates but has not read the store for a long time: its connection may have stopped
     * responding.
     */
    @Test
    void shouldReadStoreWhenKnowledgeOfReaderIsTooOld() {
        entryReader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get() - MAX_AGE_MILLIS);
        readByEntry(7);
        assertEquals(List.of("store"), requests);
    }

    @Test
    void shouldReadStoreWhenReaderStopsSendingUpdates() {
        entryReader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get());
        readByEntry(7);
        now.addAndGet(1_000);
        readByEntry(7);
        assertEquals(List.of("store"), requests);
    }

    /** An entry that the store refuses learns of changes from any entry that the store accepts. */
    @Test
    void shouldReadFromAnyReaderWhenStoreDoesNotRespond() {
        storeDown = true;
        entryReader.read(Topic.OPERATOR, 7, Duration.ZERO);
        entryReader.onUpdate("10.0.0.2:8000", new ChangeOffsets(8, 0), now.get());
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), readByEntry(7));
        assertEquals(List.of("store", "10.0.0.2:8000"), requests);
        assertFalse(entryReader.readsStoreDirectly());
    }

    /**
     * When the last update expires, the knowledge of the region's reader is as old as the maximum age. If the next read
     * were held for a whole hold, that knowledge would be older than a manifest may be when the read ends, although the
     * store responds all the time.
     */
    @Test
    void shouldReadWithinBoundWhenReaderOfRegionStopsResponding() {
        long boundMillis = 2_000;
        Duration hold = Duration.ofMillis(1_000);
        AtomicLong waited = new AtomicLong();
        TopicReader quiet = new TopicReader() {
            @Override
            public Result<Batch> readLatest(Topic topic) {
                return Result.success(new Batch(List.of(), 7));
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                waited.set(wait.toMillis());
                return Result.success(new Read.Records(new Batch(List.of(), from)));
            }
        };
        PeerFirstReader follower = new PeerFirstReader(
                quiet,
                (peer, topic, from, timeout) -> peerResponse,
                new PeerFirstReader.Role.Entry(SELF, MAX_AGE_MILLIS),
                now::get);
        long asOf = now.get();
        follower.onUpdate(PEER, new ChangeOffsets(7, 0), asOf);
        now.addAndGet(MAX_AGE_MILLIS);
        follower.read(Topic.OPERATOR, 7, hold);
        long age = now.get() + waited.get() - asOf;
        assertTrue(age <= boundMillis, "the state was known " + age + " ms before the store responds");
    }

    /**
     * A reader with a saturated link sends its response slowly, for up to the ten seconds that a response may take. The
     * response is limited to the time for which the reader's update is valid; then the store is read.
     */
    @Test
    void shouldReadStoreWhenResponseOfReaderOutlastsItsUpdate() {
        List<Duration> timeouts = new ArrayList<>();
        PeerFirstReader.PeerSource slow = (peer, topic, from, timeout) -> {
            timeouts.add(timeout);
            return Result.failure(Fault.of(Fault.Step.READ, peer, Fault.Reason.TIMEOUT, "the response stopped"));
        };
        PeerFirstReader follower =
                new PeerFirstReader(store, slow, new PeerFirstReader.Role.Entry(SELF, MAX_AGE_MILLIS), now::get);
        follower.onUpdate(PEER, new ChangeOffsets(8, 0), now.get() - 1_000);
        follower.read(Topic.OPERATOR, 7, HOLD);
        assertEquals(List.of(Duration.ofMillis(MAX_AGE_MILLIS - 1_000)), timeouts);
        assertEquals(List.of("store"), requests);
    }

    /**
     * Entries whose own reads are slow remain connected and continue to send updates that reflect an old state, without
     * a weight version named since.
     */
    @Test
    void shouldReadStoreAsAgentWhenKnowledgeOfEntriesIsTooOld() {
        reader.onUpdate(PEER, new ChangeOffsets(7, 0), now.get() - 10_000);
        read(7);
        assertEquals(List.of("store"), requests);
    }

    /**
     * Manifests 1 (with other services), 2 and 3 have offsets 0 to 2, and manifest 1 was written again, late, at offset
     * 3. Updates from entries state that services last changed at offset 1. An agent that starts reads from the saved
     * positions that manifest 3 is at offset 2, which is not a change according to these updates.
     */
    @Test
    void shouldReadReplacedManifestAsAgentWhenServicesChangedBeforeIt() {
        ViewMaintainer views = new ViewMaintainer(new StoreRecords(), now::get);
        StoredRecord third = new StoredRecord("config", 2, manifest(3));
        TopicReader history = new TopicReader() {
            @Override
            public Result<Batch> readLatest(Topic topic) {
                byte[] position = "{\"version\":3,\"offset\":2}".getBytes(StandardCharsets.UTF_8);
                return Result.success(
                        topic == Topic.NAMED
                                ? new Batch(List.of(new StoredRecord(VersionKeys.ofManifest(3), 0, position)), 1)
                                : new Batch(List.of(new StoredRecord("config", 3, manifest(1))), 4));
            }

            @Override
            public Result<Read> read(Topic topic, long from, Duration wait) {
                return Result.success(new Read.Records(new Batch(List.of(third), 3)));
            }
        };
        PeerFirstReader agent = new PeerFirstReader(
                history,
                (peer, topic, from, timeout) -> Result.success(new Batch(List.of(third), 4)),
                new PeerFirstReader.Role.Agent(),
                now::get);
        VersionPersistence persistence = new VersionPersistence(
                agent,
                (item, readTo) -> Result.success(List.of()),
                views,
                () -> VersionPersistence.WriteRole.NONE,
                () -> {});
        agent.onUpdate(PEER, new ChangeOffsets(4, 0, 2), now.get());
        Batch newest = persistence.readLatest(Topic.OPERATOR).toOptional().orElseThrow();
        assertTrue(newest.records().contains(third), "found: " + newest.records());
    }

    private static byte[] manifest(long version) {
        return ("{\"version\":" + version + ",\"routes\":[],\"services\":[]}").getBytes(StandardCharsets.UTF_8);
    }
}
