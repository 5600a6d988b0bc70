package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.RecordDecoder;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSources.Agent;

/** A controller with its own endpoint, origin and clock, without other agents. */
abstract class ReplicaControllerFixture {

    static final long MAX_STALENESS_MILLIS = 8_000;

    final AtomicLong now = new AtomicLong(1_000_000);
    final FakeEndpoint endpoint = new FakeEndpoint();
    final FakeOrigin origin = new FakeOrigin(now);
    final ViewMaintainer views = new ViewMaintainer(new EndpointDecoder(), now::get);
    volatile int throttledBytes;
    int cordonNotifications;
    volatile ReplicaController.RegionPosition position = new ReplicaController.RegionPosition(0, 3);
    final ReplicaController controller = newController();
    private final List<Thread> fetchThreads = new ArrayList<>();

    /** The bound of the controllers. Constant, since the first controller is created before a subclass's fields. */
    long maxStalenessMillis() {
        return MAX_STALENESS_MILLIS;
    }

    /** Creates a controller without any state of a previous one. */
    final ReplicaController newController() {
        return new ReplicaController(new ReplicaController.Dependencies(
                () -> Optional.of("m"),
                () -> FakeEndpoint.LAYERS,
                endpoint,
                new ChunkFetcher(new ChunkFetcher.Dependencies(
                        new NoPeers(),
                        origin,
                        () -> Optional.of("origin:80"),
                        ChunkSources.cached(new Agent("a", "r"), List::of),
                        bytes -> throttledBytes += bytes,
                        now::get)),
                views::view,
                () -> position,
                () -> cordonNotifications++,
                maxStalenessMillis(),
                now::get));
    }

    /** Decodes the offset of a record as the version that an endpoint holds, and its value as the number of layers. */
    static final class EndpointDecoder implements RecordDecoder {

        @Override
        public boolean isManifest(String key) {
            return false;
        }

        @Override
        public Result<OperatorRecord> decodeOperatorRecord(StoredRecord record) {
            return Result.success(new OperatorRecord.UnusedRecord());
        }

        @Override
        public Result<EndpointRegistration> decodeEndpointRegistration(StoredRecord record) {
            return Result.success(EndpointRegistration.of(
                    record.key(), "s", "10.0.0.1:80", "h", 1, false, Map.of("m", record.offset()), record.value()[0]));
        }
    }

    private static final class NoPeers implements ChunkPeers {

        @Override
        public Result<List<String>> digests(String agent, String model, long version) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }

        @Override
        public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
            return Result.failure(Fault.of(Fault.Step.FETCH, agent, Fault.Reason.NOT_FOUND, "none"));
        }
    }

    /** Adds a store entry of another endpoint that holds layers of a version. */
    void addOtherEndpoint(long version, int layers) {
        views.apply(
                Topic.ENDPOINTS,
                List.of(new StoredRecord("i-other", version, new byte[] {(byte) layers})),
                version + 1);
    }

    /** Steps twice, with the cordon's lead time in between. */
    void stepThroughCordon() {
        controller.step();
        now.addAndGet(Cordon.LEAD_MILLIS);
        controller.step();
    }

    /** Fetches a version on a separate thread. Returns once the given number of chunks is present. */
    Thread fetchInBackground(long version, int chunks) {
        Thread thread = new Thread(() -> {
            try {
                fetch();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        fetchThreads.add(thread);
        thread.start();
        awaitPresent(version, chunks);
        return thread;
    }

    @AfterEach
    void stopFetching() {
        fetchThreads.forEach(Thread::interrupt);
    }

    void awaitPresent(long version, int chunks) {
        while (controller.chunkSet("m", version).map(ChunkSet::presentCount).orElse(-1) < chunks) {
            Thread.onSpinWait();
        }
    }

    void fetch() throws InterruptedException {
        controller.refresh();
        controller.fetch();
    }
}
