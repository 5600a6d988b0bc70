package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Two versions are named in quick succession, and the origin becomes unavailable in between: other agents have all
 * chunks of the older version, but only those of the newest that the origin served in time.
 */
@Timeout(60)
class OverlappingFetchTest {

    private static final long MAX_STALENESS_MILLIS = 8_000;
    private static final Agent SELF = new Agent("10.0.0.1:7000", "region-a");
    private static final Agent SAME_REGION = new Agent("10.0.0.2:7000", "region-a");

    /** How far the clock advances with each request that returns no chunk. */
    private static final long REQUEST_MILLIS = 100;

    private static final long STEP_MILLIS = 50;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final FakeOrigin origin = new FakeOrigin(now);
    private final Peer peer = new Peer();
    private final ViewMaintainer views = new ViewMaintainer(new OverlapSimulation.EmptyDecoder(), now::get);
    private final VersionDeadlines deadlines =
            new VersionDeadlines(views::view, () -> FakeEndpoint.LAYERS, MAX_STALENESS_MILLIS, now::get);
    private final VersionFetches fetches = new VersionFetches(
            new ChunkFetcher(new ChunkFetcher.Dependencies(
                    peer,
                    origin,
                    () -> Optional.of("origin:80"),
                    ChunkSources.cached(SELF, () -> List.of(SELF, SAME_REGION)),
                    bytes -> {},
                    now::get)),
            deadlines,
            now::get);

    /**
     * Represents all other agents: has some of the first chunks of each version, and serves each version at a limited
     * rate.
     */
    private final class Peer implements ChunkPeers {

        /** The time for a chunk on the link. */
        private long chunkMillis = 40;

        private volatile long maxKnownVersion = Long.MAX_VALUE;
        private LongConsumer onRequest = version -> {};
        private LongConsumer onServed = version -> {};
        private final Map<Long, Integer> heldChunks = new ConcurrentHashMap<>();
        private final Map<Long, Long> intervalMillis = new ConcurrentHashMap<>();
        private final Map<Long, Long> lastServedMillis = new ConcurrentHashMap<>();

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return version > maxKnownVersion
                    ? Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "unknown"))
                    : Result.success(FakeOrigin.emptySet(version).digests());
        }

        @Override
        public synchronized Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            onRequest.accept(version);
            int index = wanted.nextSetBit(0);
            boolean tooEarly = now.get() - lastServedMillis.getOrDefault(version, Long.MIN_VALUE / 2)
                    < intervalMillis.getOrDefault(version, 0L);
            if (index < 0 || index >= heldChunks.getOrDefault(version, 0) || tooEarly) {
                now.addAndGet(REQUEST_MILLIS);
                return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_READY, "still fetching"));
            }
            lastServedMillis.put(version, now.get());
            now.addAndGet(chunkMillis);
            onServed.accept(version);
            return Result.success(new IndexedChunk(index, FakeOrigin.chunk(version, index)));
        }
    }

    private int presentCount(long version) {
        return fetches.chunkSet("m", version).map(ChunkSet::presentCount).orElse(-1);
    }

    private void putFirst(long version, int chunks) {
        ChunkSet set = fetches.findOrCreate("m", version).toOptional().orElseThrow();
        for (int i = 0; i < chunks; i++) {
            set.put(i, FakeOrigin.chunk(version, i));
        }
    }

    @BeforeEach
    void nameTwoVersionsAndStopOrigin() {
        views.addPeerTarget("m", 2);
        putFirst(2, 3);
        now.addAndGet(2_000);
        views.addPeerTarget("m", 3);
        origin.maxServedVersion = 1;
        peer.heldChunks.put(2L, FakeOrigin.CHUNKS);
    }

    @Test
    void shouldSwitchToOlderVersionWhenNewestIsStalled() throws Exception {
        peer.heldChunks.put(3L, 2);
        fetches.fetchNewerThan("m", 1);
        assertEquals(FakeOrigin.CHUNKS, presentCount(2), "other agents have all of it");
        assertTrue(presentCount(3) > 0 && presentCount(3) <= 2, "chunks of the newest: " + presentCount(3));
    }

    @Test
    void shouldSwitchToOlderVersionWhenNewestArrivesTooSlowly() throws Exception {
        peer.heldChunks.put(3L, FakeOrigin.CHUNKS - 1);
        peer.intervalMillis.put(3L, 600L);
        fetches.fetchNewerThan("m", 1);
        assertEquals(FakeOrigin.CHUNKS, presentCount(2));
        assertTrue(presentCount(3) < FakeOrigin.CHUNKS - 1, "chunks of the newest: " + presentCount(3));
    }

    @Test
    void shouldContinueNewestOnceOlderVersionIsComplete() throws Exception {
        peer.heldChunks.put(3L, 2);
        fetches.fetchNewerThan("m", 1);
        peer.heldChunks.put(3L, FakeOrigin.CHUNKS);
        fetches.fetchNewerThan("m", 1);
        assertEquals(FakeOrigin.CHUNKS, presentCount(3));
    }

    @Test
    void shouldFetchNewestDirectlyWhenItArrives() throws Exception {
        peer.heldChunks.put(3L, FakeOrigin.CHUNKS);
        fetches.fetchNewerThan("m", 1);
        assertEquals(FakeOrigin.CHUNKS, presentCount(3));
        assertEquals(3, presentCount(2));
    }

    @Test
    void shouldReturnToAbandonedVersionWhenNewestIsStalled() throws Exception {
        views.addPeerTarget("m", 4);
        now.addAndGet(MAX_STALENESS_MILLIS - 500);
        peer.chunkMillis = 400;
        peer.heldChunks.put(4L, FakeOrigin.CHUNKS);
        peer.heldChunks.put(5L, 1);
        AtomicInteger servedChunks = new AtomicInteger();
        peer.onServed = version -> {
            if (version == 4 && servedChunks.incrementAndGet() == 3) {
                views.addPeerTarget("m", 5);
            }
        };
        fetches.fetchNewerThan("m", 3);
        assertTrue(presentCount(4) < FakeOrigin.CHUNKS / 2 + 1, "abandoned for version 5 with " + presentCount(4));
        fetches.fetchNewerThan("m", 3);
        assertEquals(FakeOrigin.CHUNKS, presentCount(4));
        assertTrue(presentCount(5) <= 1, "chunks of the newest: " + presentCount(5));
    }

    @Test
    void shouldAbandonStalledVersionWhenNewerIsNamed() throws Exception {
        putFirst(2, FakeOrigin.CHUNKS);
        putFirst(3, FakeOrigin.CHUNKS - 1);
        peer.heldChunks.put(4L, FakeOrigin.CHUNKS);
        peer.onRequest = version -> {
            if (version == 3) {
                views.addPeerTarget("m", 4);
            }
        };
        fetches.fetchNewerThan("m", 1);
        fetches.fetchNewerThan("m", 1);
        assertEquals(FakeOrigin.CHUNKS, presentCount(4));
    }

    /**
     * Agents that stayed with the older version, of which chunks arrived again, and those that turned to the newest
     * waited for each other's chunks, and neither version became complete in time.
     */
    @Test
    void shouldTurnToNewestWhenOriginDeliversItAgainAndOlderLosesMore() throws Exception {
        putFirst(3, 1);
        now.addAndGet(5_500);
        views.addPeerTarget("m", 4);
        now.addAndGet(500);
        origin.maxKnownVersion = 3;
        origin.maxServedVersion = Long.MAX_VALUE;
        origin.servedEnd = 0;
        peer.maxKnownVersion = 3;
        peer.heldChunks.put(3L, FakeOrigin.CHUNKS);
        peer.intervalMillis.put(3L, 600L);
        peer.onServed = version -> {
            origin.maxKnownVersion = Long.MAX_VALUE;
            peer.maxKnownVersion = Long.MAX_VALUE;
        };
        fetches.fetchNewerThan("m", 2);
        assertTrue(presentCount(3) < FakeOrigin.CHUNKS, "the older version was fetched to its end");
        origin.servedEnd = Integer.MAX_VALUE;
        peer.heldChunks.put(4L, FakeOrigin.CHUNKS);
        fetches.fetchNewerThan("m", 2);
        assertEquals(FakeOrigin.CHUNKS, presentCount(4));
    }

    // -- without threads: chunks are added as if they had been fetched

    /** Adds chunks of a version at a fixed rate for two measuring windows. */
    private FetchProgress addAtRate(long version, long intervalMillis) {
        FetchProgress progress =
                fetches.startProgress(fetches.chunkSet("m", version).orElseThrow());
        long nextMillis = now.get() + intervalMillis;
        for (long endMillis = now.get() + 1_200; now.get() < endMillis; now.addAndGet(STEP_MILLIS)) {
            if (now.get() >= nextMillis) {
                ChunkSet set = progress.set();
                set.put(set.presentCount(), FakeOrigin.chunk(version, set.presentCount()));
                nextMillis += intervalMillis;
            }
            progress.idleMillis();
        }
        return progress;
    }

    private void advanceAndStartThird(long millis) {
        now.addAndGet(millis);
        putFirst(3, 0);
    }

    @Test
    void shouldContinueSlowOlderVersionWhileNewestIsStalled() {
        // So late that at this rate version 2 is not complete before it must stop being served.
        advanceAndStartThird(3_500);
        fetches.overlapPolicy().onFetchEnded(addAtRate(3, 2_000));
        FetchProgress older = addAtRate(2, 400);
        assertTrue(fetches.shouldContinueOlder("m", 1, 2).test(older));
    }

    @Test
    void shouldContinueNewestWhenLinkIsSlow() {
        // At this rate version 2 cannot be complete in time, but it could at the typical rate.
        advanceAndStartThird(1_500);
        fetches.overlapPolicy().onFetchEnded(addAtRate(3, 600));
        FetchProgress older = addAtRate(2, 600);
        assertFalse(fetches.shouldContinueOlder("m", 1, 2).test(older));
        fetches.overlapPolicy().onFetchEnded(older);
        assertTrue(fetches.shouldContinueNewest("m", 1, 3).test(addAtRate(3, 600)));
    }
}
