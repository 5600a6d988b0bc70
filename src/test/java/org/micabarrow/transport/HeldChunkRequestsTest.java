package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.HttpClient.PendingCall;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSet;

/** Requests for chunks that arrive while they are held. */
class HeldChunkRequestsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int CHUNKS = 8;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final long DEFAULT_HOLD_NANOS = 500_000_000;

    /** As many as one agent holds when the origin is away: one of each other agent of a region. */
    private static final int REQUESTS = 24;

    private final Map<Long, ChunkSet> sets = new ConcurrentHashMap<>();
    private String address;
    private HttpListener listener;
    private HttpClient client;

    @BeforeEach
    void start() throws Exception {
        address = Ports.freeAddress();
        HostedPeerServer server = new HostedPeerServer(
                new ViewMaintainer(new StoreRecords(), () -> 0),
                (model, version) -> Optional.ofNullable(sets.get(version)),
                new MetricRegistry(),
                new LinkPacer(1e9, () -> 1));
        listener = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), server);
        client = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        listener.close();
    }

    private static byte[] chunk(int index) {
        return new byte[] {(byte) index, 1, 2};
    }

    private ChunkSet begin(long version) {
        List<String> digests = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            digests.add(Digest.of(chunk(i)));
        }
        ChunkSet set = new ChunkSet("m", version, digests);
        sets.put(version, set);
        return set;
    }

    private PendingCall request(long version, int... wanted) {
        BitSet indexes = new BitSet();
        for (int index : wanted) {
            indexes.set(index);
        }
        String chunks = java.util.HexFormat.of().formatHex(indexes.toByteArray());
        return client.callAsync(
                HttpCall.get(Step.FETCH, URI.create("http://" + address + "/chunks/m/" + version + "/" + chunks)));
    }

    private static HttpResponse response(PendingCall call) {
        Result<HttpResponse> result = call.await(TIMEOUT);
        return result.toOptional().orElseThrow();
    }

    @Test
    void shouldAnswerEachRequestWithItsChunkWhenChunksArrive() {
        ChunkSet set = begin(2);
        List<PendingCall> calls = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            calls.add(request(2, i % CHUNKS));
        }
        for (int i = CHUNKS - 1; i >= 0; i--) {
            assertTrue(set.put(i, chunk(i)));
        }
        for (int i = 0; i < REQUESTS; i++) {
            HttpResponse response = response(calls.get(i));
            assertEquals(OK, response.status());
            assertEquals(
                    String.valueOf(i % CHUNKS),
                    response.headers().first(PeerChunkClient.INDEX).orElseThrow());
        }
    }

    @Test
    void shouldAnswerWhenVersionIsBegunLater() {
        PendingCall call = request(3, 1, 2);
        ChunkSet set = begin(3);
        assertTrue(set.put(2, chunk(2)));
        HttpResponse response = response(call);
        assertEquals("2", response.headers().first(PeerChunkClient.INDEX).orElseThrow());
    }

    @Test
    void shouldSayThatItIsFetchingWhenNoWantedChunkArrives() {
        ChunkSet set = begin(2);
        PendingCall call = request(2, 1);
        assertTrue(set.put(2, chunk(2)));
        assertEquals(PeerChunkClient.FETCHING, response(call).status());
    }

    /** A request of an earlier build states no hold. */
    @Test
    void shouldHoldRequestForAsLongAsItStates() {
        begin(2);
        String chunk = "http://" + address + "/chunks/m/2/01";
        HttpCall stated = HttpCall.get(Step.FETCH, URI.create(chunk + "?hold=0"));
        HttpCall unstated = HttpCall.get(Step.FETCH, URI.create(chunk));
        long startNanos = System.nanoTime();
        assertEquals(
                PeerChunkClient.FETCHING, response(client.callAsync(unstated)).status());
        assertTrue(System.nanoTime() - startNanos >= DEFAULT_HOLD_NANOS, "a request without a hold was not held");
        assertEquals(
                PeerChunkClient.FETCHING, response(client.callAsync(stated)).status());
        HttpCall invalid = HttpCall.get(Step.FETCH, URI.create(chunk + "?hold=soon"));
        assertEquals(BAD_REQUEST, response(client.callAsync(invalid)).status());
    }

    @Test
    void shouldSayThatVersionIsUnknownWhenItIsNotBegun() {
        assertEquals(NOT_FOUND, response(request(9, 1)).status());
    }

    /** A request that is held on the connection of one that was answered from the same check. */
    @Test
    void shouldServeNextRequestOfConnectionWhenFirstIsAnswered() {
        ChunkSet set = begin(2);
        PendingCall first = request(2, 0);
        assertTrue(set.put(0, chunk(0)));
        assertEquals(OK, response(first).status());
        PendingCall second = request(2, 1);
        assertTrue(set.put(1, chunk(1)));
        assertEquals(OK, response(second).status());
    }

    @Test
    void shouldCountOnlyArrivalsOfIntactChunks() {
        ChunkSet set = begin(2);
        assertEquals(0, set.arrivals());
        assertTrue(set.put(0, chunk(0)));
        assertEquals(1, set.arrivals());
        assertFalse(set.put(1, chunk(0)));
        assertEquals(1, set.arrivals());
    }
}
