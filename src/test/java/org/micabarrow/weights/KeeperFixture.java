package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewKeeper;
import org.micabarrow.weights.ChunkSources.Agent;

/** A keeper with an endpoint, an origin and a clock of its own, without other agents. */
abstract class KeeperFixture {

    static final long BOUND = 8_000;

    final AtomicLong now = new AtomicLong(1_000_000);
    final FakeEndpoint endpoint = new FakeEndpoint();
    final FakeOrigin origin = new FakeOrigin(now);
    final ViewKeeper views = new ViewKeeper(new EndpointsOnly(), now::get);
    volatile int pacedBytes;
    int toldClosing;
    volatile ReplicaController.Place place = new ReplicaController.Place(0, 3);
    final ReplicaController keeper = newKeeper();
    private final List<Thread> fetching = new ArrayList<>();

    /** A keeper that knows nothing of what one before it has done. */
    final ReplicaController newKeeper() {
        return new ReplicaController(new ReplicaController.Parts(
                () -> Optional.of("m"),
                () -> FakeEndpoint.LAYERS,
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
    }

    /** Reads the offset of a record as the version that an endpoint holds, and its value as the number of layers. */
    static final class EndpointsOnly implements RecordDecoder {

        @Override
        public boolean isManifest(String key) {
            return false;
        }

        @Override
        public Result<OperatorRecord> operator(StoredRecord record) {
            return Result.success(new OperatorRecord.Unused());
        }

        @Override
        public Result<EndpointEntry> endpoint(StoredRecord record) {
            return Result.success(EndpointEntry.of(
                    record.key(), "s", "10.0.0.1:80", "h", 1, false, Map.of("m", record.offset()), record.value()[0]));
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

    /** Another endpoint enters itself with layers of a version. */
    void anotherHolds(long version, int layers) {
        views.apply(
                Topic.ENDPOINTS,
                List.of(new StoredRecord("i-other", version, new byte[] {(byte) layers})),
                version + 1);
    }

    /** Steps as if entries had been told to send nothing, and again when all of them know. */
    void stepTwice() {
        keeper.step();
        now.addAndGet(Cordon.MILLIS);
        keeper.step();
    }

    /** Fetches a version on a thread of its own; returns once some chunks are here. */
    Thread fetchBeside(long version, int chunks) {
        Thread thread = new Thread(() -> {
            try {
                fetch();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        fetching.add(thread);
        thread.start();
        awaitPresent(version, chunks);
        return thread;
    }

    @AfterEach
    void stopFetching() {
        fetching.forEach(Thread::interrupt);
    }

    void awaitPresent(long version, int chunks) {
        while (keeper.set("m", version).map(ChunkSet::present).orElse(-1) < chunks) {
            Thread.onSpinWait();
        }
    }

    void fetch() throws InterruptedException {
        keeper.refresh();
        keeper.fetch();
    }
}
