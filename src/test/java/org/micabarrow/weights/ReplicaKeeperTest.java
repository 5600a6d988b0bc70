package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.ViewKeeper;
import org.micabarrow.weights.ChunkSources.Agent;

/** An endpoint is brought to the wanted version, and never takes up what is not whole and right. */
class ReplicaKeeperTest {

    private static final long BOUND = 8_000;
    private static final int CHUNKS = 8;
    private static final int LAYERS = 4;

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final FakeEndpoint endpoint = new FakeEndpoint();
    private volatile int pacedBytes;
    private int toldClosing;
    private final FakeOrigin origin = new FakeOrigin();
    private volatile ReplicaKeeper.Place place = new ReplicaKeeper.Place(0, 3);
    private final ViewKeeper views = new ViewKeeper(new NoDecoder(), now::get);
    private final ReplicaKeeper keeper = new ReplicaKeeper(new ReplicaKeeper.Parts(
            () -> Optional.of("m"),
            () -> LAYERS,
            endpoint,
            new ChunkFetcher(new ChunkFetcher.Parts(
                    new NoPeers(),
                    origin,
                    () -> Optional.of("origin:80"),
                    ChunkSources.following(new Agent("a", "r"), List::of),
                    bytes -> pacedBytes += bytes,
                    now::get)),
            views::view,
            () -> place,
            () -> toldClosing++,
            BOUND,
            now::get));

    private static byte[] chunk(long version, int index) {
        return new byte[] {(byte) version, (byte) index};
    }

    private static final class NoDecoder implements RecordDecoder {

        @Override
        public Result<OperatorRecord> operator(StoredRecord record) {
            return Result.success(new OperatorRecord.Unused());
        }

        @Override
        public Result<EndpointEntry> endpoint(StoredRecord record) {
            return Result.failure(Fault.of(Fault.Step.READ, "test", Fault.Reason.INVALID, "none"));
        }
    }

    private static final class NoPeers implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }

        @Override
        public Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }
    }

    private final class FakeOrigin implements WeightOrigin {

        /** How far the clock goes on with each question for a chunk that is withheld. */
        private static final long QUESTION_MILLIS = 200;

        private int given;
        private long knowsUpTo = Long.MAX_VALUE;
        private long givesUpTo = Long.MAX_VALUE;
        private int spoilFirst;
        private volatile int gives = Integer.MAX_VALUE;
        private int givesFrom;

        @Override
        public Result<List<String>> digests(String address, String model, long version) {
            if (version > knowsUpTo) {
                return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "away"));
            }
            List<String> all = new ArrayList<>();
            for (int i = 0; i < CHUNKS; i++) {
                all.add(Digest.of(ReplicaKeeperTest.chunk(version, i)));
            }
            return Result.success(all);
        }

        @Override
        public synchronized Result<byte[]> chunk(String address, String model, long version, int index) {
            if (version > givesUpTo) {
                now.addAndGet(QUESTION_MILLIS);
                return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "away"));
            }
            if (index >= gives || index < givesFrom) {
                return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.NOT_FOUND, "not given"));
            }
            given++;
            return Result.success(spoilFirst-- > 0 ? new byte[] {9, 9} : ReplicaKeeperTest.chunk(version, index));
        }
    }

    private static final class FakeEndpoint implements ModelEndpoint {

        private final Map<Integer, byte[]> staged = new HashMap<>();
        private final List<String> orders = new ArrayList<>();
        private long held;
        private boolean busy;

        @Override
        public Result<Report> report() {
            Map<String, Long> models = held == 0 ? Map.of() : Map.of("m", held);
            return Result.success(new Report(models, busy, orders.size(), 0, 0));
        }

        @Override
        public synchronized Result<Boolean> stage(String model, int index, byte[] bytes) {
            staged.put(index, bytes);
            return Result.success(true);
        }

        @Override
        public Result<Optional<byte[]>> staged(String model, int index) {
            return Result.success(Optional.ofNullable(staged.get(index)));
        }

        @Override
        public Result<OrderEnd> start(String model, long version, long ordersSeen) {
            orders.add("start " + version);
            held = version;
            return Result.success(OrderEnd.BEGUN);
        }

        @Override
        public Result<OrderEnd> startLayer(String model, long version, int layer, long ordersSeen) {
            orders.add("start " + version + " layer " + layer);
            held = 0;
            return Result.success(OrderEnd.BEGUN);
        }
    }

    /** Steps as if entries had been told to send nothing, and again when all of them know. */
    private void stepTwice() {
        keeper.step();
        now.addAndGet(Cordon.MILLIS);
        keeper.step();
    }

    /** Fetches a version on a thread of its own; returns once some chunks are here. */
    private Thread fetchBeside(long version, int chunks) {
        Thread fetching = new Thread(() -> {
            try {
                fetch();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        fetching.start();
        awaitPresent(version, chunks);
        return fetching;
    }

    private void awaitPresent(long version, int chunks) {
        while (keeper.set("m", version).map(ChunkSet::present).orElse(0) < chunks) {
            Thread.onSpinWait();
        }
    }

    private void fetch() throws InterruptedException {
        keeper.refresh();
        keeper.fetch();
    }

    @Test
    void shouldStartEmptyEndpointAtOnceWithFirstVersion() throws Exception {
        fetch();
        keeper.step();
        assertEquals(List.of("start 1"), endpoint.orders);
    }

    @Test
    void shouldGoOnWithVersionBeforeWhenNobodyKnowsNewest() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        origin.knowsUpTo = 2;
        fetch();
        assertEquals(CHUNKS, keeper.set("m", 2).map(ChunkSet::present).orElse(0));
    }

    @Test
    void shouldGoOnWithVersionBeforeWhenChunksOfNewestComeNoMore() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        origin.givesUpTo = 2;
        fetch();
        assertEquals(0, keeper.set("m", 3).map(ChunkSet::present).orElse(-1));
        assertEquals(CHUNKS, keeper.set("m", 2).map(ChunkSet::present).orElse(0));
        origin.givesUpTo = 3;
        fetch();
        assertEquals(CHUNKS, keeper.set("m", 3).map(ChunkSet::present).orElse(0), "then the newest again");
    }

    /** Version 2 whole, and six of eight chunks of version 3 here a second after the fetching of it began. */
    private Thread fetchMostOfThird() throws InterruptedException {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        views.want("m", 3);
        origin.gives = CHUNKS - 2;
        Thread fetching = fetchBeside(3, CHUNKS - 2);
        now.addAndGet(1_000);
        return fetching;
    }

    @Test
    void shouldGoPastVersionWhenNewerOneIsExpectedSoon() throws Exception {
        place = new ReplicaKeeper.Place(2, 3);
        Thread fetching = fetchMostOfThird();
        now.addAndGet(1_600);
        stepTwice();
        assertEquals(List.of("start 3 layer 0"), endpoint.orders, "it stops serving, and does not take up version 2");
        origin.gives = CHUNKS;
        fetching.join();
        keeper.refresh();
        keeper.step();
        assertEquals(List.of("start 3 layer 0", "start 3"), endpoint.orders);
    }

    @Test
    void shouldTakeVersionWhenNewerOneComesNoMore() throws Exception {
        place = new ReplicaKeeper.Place(2, 3);
        Thread fetching = fetchMostOfThird();
        now.addAndGet(1_600);
        stepTwice();
        now.addAndGet(3_000);
        keeper.refresh();
        keeper.step();
        assertEquals(List.of("start 3 layer 0", "start 2"), endpoint.orders);
        origin.gives = CHUNKS;
        fetching.join();
    }

    @Test
    void shouldTakeEveryVersionWhenItIsAmongTheFirstOfItsRegion() throws Exception {
        Thread fetching = fetchMostOfThird();
        stepTwice();
        assertEquals(List.of("start 2"), endpoint.orders);
        origin.gives = CHUNKS;
        fetching.join();
    }

    @Test
    void shouldFetchNothingButNewestWhenTheOneBeforeMayAnswerNoMore() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        now.addAndGet(BOUND + 1);
        origin.knowsUpTo = 2;
        fetch();
        assertTrue(keeper.set("m", 2).isEmpty());
    }

    @Test
    void shouldNotHoldBackChunksOfOrigin() throws Exception {
        fetch();
        assertEquals(CHUNKS, keeper.set("m", 1).map(ChunkSet::present).orElse(0));
        assertEquals(0, pacedBytes);
    }

    @Test
    void shouldWaitForItsTurnWhenEndpointServesOlderVersion() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldKeepNewRequestsAwayBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertTrue(keeper.closing());
        assertEquals(1, toldClosing);
        now.addAndGet(Cordon.MILLIS - 1);
        keeper.step();
        assertEquals(List.of(), endpoint.orders, "an entry may not have heard yet");
        now.addAndGet(1);
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(1, toldClosing);
        keeper.step();
        assertFalse(keeper.closing(), "the endpoint holds the version");
    }

    @Test
    void shouldKeepNewRequestsAwayWhileLastChunksCome() throws Exception {
        endpoint.held = 1;
        origin.gives = CHUNKS - 2;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, CHUNKS - 2);
        keeper.step();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertFalse(keeper.closing(), "two of eight chunks at this pace take longer than the cordon");
        origin.gives = CHUNKS - 1;
        awaitPresent(2, CHUNKS - 1);
        now.addAndGet(-BOUND / 2 + 3_400);
        keeper.step();
        assertTrue(keeper.closing());
        now.addAndGet(Cordon.MILLIS);
        keeper.step();
        assertEquals(List.of(), endpoint.orders, "a chunk is missing");
        origin.gives = CHUNKS;
        fetching.join();
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldNotKeepRequestsAwayEarlyWhenManyChunksAreLaidInAnInstant() throws Exception {
        endpoint.held = 1;
        origin.gives = CHUNKS - 2;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, CHUNKS - 2);
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertFalse(
                keeper.closing(), "six chunks took four seconds to come, so that two more take longer than the cordon");
        origin.gives = CHUNKS;
        fetching.join();
    }

    @Test
    void shouldTakeRequestsAgainWhenVersionIsOvertakenBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertTrue(keeper.closing());
        endpoint.held = 2;
        keeper.refresh();
        keeper.step();
        assertFalse(keeper.closing());
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldMendChunkThatTurnedBadBeforeOrdering() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        keeper.step();
        endpoint.staged.put(3, new byte[] {0});
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of(), endpoint.orders, "the pass that mends does not order");
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(chunk(2, 3)[1], endpoint.staged.get(3)[1]);
    }

    @Test
    void shouldNotTakeChunkWithWrongDigest() throws Exception {
        origin.spoilFirst = 3;
        fetch();
        keeper.step();
        assertEquals(CHUNKS + 3, origin.given);
        for (int i = 0; i < CHUNKS; i++) {
            assertEquals(i, endpoint.staged.get(i)[1]);
        }
    }

    @Test
    void shouldGoToNewestVersionWhenTwoWereNamed() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        fetch();
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of("start 3"), endpoint.orders);
    }

    @Test
    void shouldOrderNothingWhileEndpointIsBusy() throws Exception {
        endpoint.busy = true;
        fetch();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldStopServingOlderVersionWhenNewerOneIsNotWholeInTime() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < CHUNKS; i++) {
            endpoint.staged.put(i, chunk(1, i));
        }
        keeper.refresh();
        keeper.step();
        origin.gives = 5;
        origin.givesFrom = 1;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, 4);
        keeper.refresh();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(BOUND);
        stepTwice();
        keeper.step();
        fetching.interrupt();
        // Without chunk 0 the first whole layer is the second; the older version, here whole, is not taken up again.
        assertEquals(List.of("start 2 layer 1"), endpoint.orders);
    }

    @Test
    void shouldHandOutWhatEndpointHeldBeforeAgentStarted() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < CHUNKS; i++) {
            endpoint.staged.put(i, chunk(1, i));
        }
        keeper.refresh();
        keeper.step();
        assertEquals(CHUNKS, keeper.set("m", 1).orElseThrow().present());
        assertEquals(0, origin.given);
    }

    @Test
    void shouldLeaveLinkToRequestsOnlyWhenEndpointGetsSome() {
        keeper.refresh();
        assertFalse(keeper.serves(), "it holds nothing, so the link is free for weights");
        endpoint.held = 1;
        keeper.refresh();
        assertTrue(keeper.serves());
    }
}
