package org.micabarrow.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.PeerChunkClient;
import org.micabarrow.transport.PeerRecordClient;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;

/**
 * A process with a small heap that asks one server, as if it were the store, the origin, peers and the endpoint, for as much as an
 * agent does at a time, and meanwhile reads a manifest and reports from another.
 */
final class ManyAnswersProcess {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final int MANIFESTS = 2;

    /** How often a read is begun anew at most, as those who follow the store do. */
    private static final int MAX_TRIES = 20;

    private static final int REPORTS = 50;

    private ManyAnswersProcess() {}

    /**
     * Runs until all sound answers have come.
     *
     * @param arguments the address of the sound server and that of the other
     * @throws IOException if it cannot open its selector
     */
    public static void main(String[] arguments) throws IOException {
        HttpClient client = HttpClient.onWorker(HttpClient.worker("traffic", 1), 64);
        asks(client, arguments[1])
                .forEach(ask -> Thread.ofPlatform().daemon().start(() -> {
                    while (true) {
                        ask.run();
                    }
                }));
        EndpointCalls endpoint = new EndpointCalls(client, arguments[0], () -> 0);
        StoreClient store = new StoreClient(client, arguments[0], TIMEOUT);
        int reports = 0;
        long manifests = 0;
        for (int round = 0; round < MANIFESTS; round++) {
            for (int i = 0; i < REPORTS; i++) {
                reports += succeeded(endpoint.report());
            }
            manifests += manifests(store);
        }
        System.out.println("reports " + reports + ", manifests " + manifests);
        System.exit(0);
    }

    private static int succeeded(Result<?> result) {
        result.cause().ifPresent(System.out::println);
        return result instanceof Result.Success ? 1 : 0;
    }

    private static long manifests(StoreClient store) {
        for (int i = 0; i < MAX_TRIES; i++) {
            Optional<Batch> read = store.readLatest(Topic.OPERATOR).toOptional();
            if (read.isPresent()) {
                return manifests(read.get().records().getFirst());
            }
        }
        return 0;
    }

    private static long manifests(StoredRecord record) {
        return succeeded(new StoreRecords().decodeOperatorRecord(record));
    }

    private static List<Runnable> asks(HttpClient client, String address) {
        StoreClient store = new StoreClient(client, address, TIMEOUT);
        OriginCalls origin = new OriginCalls(client);
        PeerChunkClient peers = new PeerChunkClient(client);
        PeerRecordClient records = new PeerRecordClient(client);
        EndpointCalls endpoint = new EndpointCalls(client, address, () -> 0);
        BitSet wanted = BitSet.valueOf(new long[] {3});
        return List.of(
                () -> store.readLatest(Topic.ENDPOINTS),
                () -> store.read(Topic.CRASHES, 0, Duration.ZERO),
                () -> records.request(address, Topic.NAMED, 0),
                () -> origin.newest(address, "m"),
                () -> origin.digests(address, "m", 1),
                () -> origin.chunk(address, "m", 1, 0),
                () -> origin.chunk(address, "m", 1, 1),
                () -> peers.digests(address, "m", 1),
                () -> peers.fetchAnyOf(address, "m", 1, wanted),
                () -> peers.fetchAnyOf(address, "m", 2, wanted),
                endpoint::report,
                () -> endpoint.readStaged("m", 0));
    }
}
