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
 * Two versions are named one soon after the other, and the origin goes away between them: other agents hold all chunks of the
 * older one, and of the newest only those that left the origin in time.
 */
@Timeout(60)
class OverlappingFetchTest {

    private static final long BOUND = 8_000;
    private static final Agent SELF = new Agent("10.0.0.1:7000", "region-a");
    private static final Agent NEAR = new Agent("10.0.0.2:7000", "region-a");

    /** How far the clock goes on with each question that brings nothing. */
    private static final long QUESTION_MILLIS = 100;

    private static final long LOOK_MILLIS = 50;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final FakeOrigin origin = new FakeOrigin(now);
    private final Peer peer = new Peer();
    private final ViewMaintainer views = new ViewMaintainer(new OverlapPlay.NoRecords(), now::get);
    private final VersionDeadlines deadlines =
            new VersionDeadlines(views::view, () -> FakeEndpoint.LAYERS, BOUND, now::get);
    private final VersionFetches fetches = new VersionFetches(
            new ChunkFetcher(new ChunkFetcher.Parts(
                    peer,
                    origin,
                    () -> Optional.of("origin:80"),
                    ChunkSources.following(SELF, () -> List.of(SELF, NEAR)),
                    bytes -> {},
                    now::get)),
            deadlines,
            now::get);

    /** All other agents in one: holds some of the first chunks of each version, and gives one at most each so often. */
    private final class Peer implements ChunkPeers {

        /** How long a chunk takes on the link. */
        private long chunkMillis = 40;

        private LongConsumer onAsked = version -> {};
        private LongConsumer onGiven = version -> {};
        private final Map<Long, Integer> holds = new ConcurrentHashMap<>();
        private final Map<Long, Long> everyMillis = new ConcurrentHashMap<>();
        private final Map<Long, Long> gaveMillis = new ConcurrentHashMap<>();

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return Result.success(FakeOrigin.emptySet(version).digests());
        }

        @Override
        public synchronized Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted) {
            onAsked.accept(version);
            int index = wanted.nextSetBit(0);
            boolean early = now.get() - gaveMillis.getOrDefault(version, Long.MIN_VALUE / 2)
                    < everyMillis.getOrDefault(version, 0L);
            if (index < 0 || index >= holds.getOrDefault(version, 0) || early) {
                now.addAndGet(QUESTION_MILLIS);
                return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_READY, "still fetching"));
            }
            gaveMillis.put(version, now.get());
            now.addAndGet(chunkMillis);
            onGiven.accept(version);
            return Result.success(new Numbered(index, FakeOrigin.chunk(version, index)));
        }
    }

    private int present(long version) {
        return fetches.set("m", version).map(ChunkSet::present).orElse(-1);
    }

    private void putFirst(long version, int chunks) {
        ChunkSet set = fetches.setFor("m", version).toOptional().orElseThrow();
        for (int i = 0; i < chunks; i++) {
            set.put(i, FakeOrigin.chunk(version, i));
        }
    }

    @BeforeEach
    void nameTwoVersionsAndTakeOriginAway() {
        views.want("m", 2);
        putFirst(2, 3);
        now.addAndGet(2_000);
        views.want("m", 3);
        origin.givesUpTo = 1;
        peer.holds.put(2L, FakeOrigin.CHUNKS);
    }

    @Test
    void shouldTurnBackToOlderVersionWhenNewestBringsNoMoreThanLeftTheOrigin() throws Exception {
        peer.holds.put(3L, 2);
        fetches.fetchFor("m", 1);
        assertEquals(FakeOrigin.CHUNKS, present(2), "all of it is with other agents");
        assertTrue(present(3) > 0 && present(3) <= 2, "chunks of the newest: " + present(3));
    }

    @Test
    void shouldTurnBackToOlderVersionWhenNewestComesTooSlowlyToServe() throws Exception {
        peer.holds.put(3L, FakeOrigin.CHUNKS - 1);
        peer.everyMillis.put(3L, 600L);
        fetches.fetchFor("m", 1);
        assertEquals(FakeOrigin.CHUNKS, present(2));
        assertTrue(present(3) < FakeOrigin.CHUNKS - 1, "chunks of the newest: " + present(3));
    }

    @Test
    void shouldGoOnWithNewestOnceOlderVersionIsHere() throws Exception {
        peer.holds.put(3L, 2);
        fetches.fetchFor("m", 1);
        peer.holds.put(3L, FakeOrigin.CHUNKS);
        fetches.fetchFor("m", 1);
        assertEquals(FakeOrigin.CHUNKS, present(3));
    }

    @Test
    void shouldGoStraightToNewestWhenItComes() throws Exception {
        peer.holds.put(3L, FakeOrigin.CHUNKS);
        fetches.fetchFor("m", 1);
        assertEquals(FakeOrigin.CHUNKS, present(3));
        assertEquals(3, present(2));
    }

    @Test
    void shouldTurnBackToVersionThatWasLeftForNewestWhenThatDoesNotCome() throws Exception {
        views.want("m", 4);
        now.addAndGet(BOUND - 500);
        peer.chunkMillis = 400;
        peer.holds.put(4L, FakeOrigin.CHUNKS);
        peer.holds.put(5L, 1);
        AtomicInteger given = new AtomicInteger();
        peer.onGiven = version -> {
            if (version == 4 && given.incrementAndGet() == 3) {
                views.want("m", 5);
            }
        };
        fetches.fetchFor("m", 3);
        assertTrue(present(4) < FakeOrigin.CHUNKS / 2 + 1, "left for version 5 with " + present(4));
        fetches.fetchFor("m", 3);
        assertEquals(FakeOrigin.CHUNKS, present(4));
        assertTrue(present(5) <= 1, "chunks of the newest: " + present(5));
    }

    @Test
    void shouldNotStayWithHalfTakenVersionThatComesNoMoreWhenNewerIsNamed() throws Exception {
        putFirst(2, FakeOrigin.CHUNKS);
        putFirst(3, FakeOrigin.CHUNKS - 1);
        peer.holds.put(4L, FakeOrigin.CHUNKS);
        peer.onAsked = version -> {
            if (version == 3) {
                views.want("m", 4);
            }
        };
        fetches.fetchFor("m", 1);
        fetches.fetchFor("m", 1);
        assertEquals(FakeOrigin.CHUNKS, present(4));
    }

    // -- without threads: chunks are put as if they came

    /** Chunks of a version come for two windows of its pace, one each so often. */
    private FetchProgress comes(long version, long everyMillis) {
        FetchProgress progress = fetches.begins(fetches.set("m", version).orElseThrow());
        long next = now.get() + everyMillis;
        for (long end = now.get() + 1_200; now.get() < end; now.addAndGet(LOOK_MILLIS)) {
            if (now.get() >= next) {
                ChunkSet set = progress.set();
                set.put(set.present(), FakeOrigin.chunk(version, set.present()));
                next += everyMillis;
            }
            progress.silentMillis();
        }
        return progress;
    }

    private void letTimePass(long millis) {
        now.addAndGet(millis);
        putFirst(3, 0);
    }

    @Test
    void shouldStayWithOlderVersionThatComesSlowlyWhileNothingOfNewestComes() {
        // So late that what is missing of version 2 is not here at this pace before it must stop.
        letTimePass(3_500);
        fetches.overlap().ended(comes(3, 2_000));
        FetchProgress older = comes(2, 400);
        assertTrue(fetches.olderWanted("m", 1, 2).test(older));
    }

    @Test
    void shouldStayWithNewestWhenItIsTheLinkThatIsSlow() {
        // At this pace version 2 cannot be here in time, but it could if its chunks came as fast as usual.
        letTimePass(1_500);
        fetches.overlap().ended(comes(3, 600));
        FetchProgress older = comes(2, 600);
        assertFalse(fetches.olderWanted("m", 1, 2).test(older));
        fetches.overlap().ended(older);
        assertTrue(fetches.newestWanted("m", 1, 3).test(comes(3, 600)));
    }
}
