package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.time.Duration;
import java.util.BitSet;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.SilentRelay;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ChunkPeers.IndexedChunk;

/** Tests how a client treats an agent that does not respond to a request for chunks. */
class PeerChunkClientTest {

    /** Every request without a response delays a test by this time; a busy machine responds within it. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** So long that a busy machine is never considered unresponsive. */
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private HttpListener agent;
    private SilentRelay relay;
    private HttpClient client;
    private volatile boolean sendsChunks = true;
    private volatile boolean sendsDigests = true;

    @BeforeEach
    void start() throws Exception {
        String address = Ports.freeAddress();
        agent = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), this::respond);
        relay = SilentRelay.to(address);
        client = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        relay.close();
        agent.close();
    }

    private void respond(HttpServerExchange exchange) {
        boolean chunk = exchange.getRequestPath().startsWith(PeerChunkClient.CHUNKS);
        if (chunk && sendsChunks) {
            exchange.getResponseHeaders().put(new HttpString(PeerChunkClient.INDEX), 3);
            exchange.getResponseSender().send("a chunk");
        } else if (!chunk && sendsDigests) {
            exchange.getResponseSender().send("[]");
        } else {
            exchange.dispatch(() -> {});
        }
    }

    private Result<IndexedChunk> request(PeerChunkClient peers) {
        BitSet wanted = new BitSet();
        wanted.set(3);
        return peers.fetchAnyOf(relay.address(), "m", 2, wanted);
    }

    private static Optional<Integer> index(Result<IndexedChunk> response) {
        return response.toOptional().map(IndexedChunk::index);
    }

    private static Reason reason(Result<IndexedChunk> response) {
        return response.cause().orElseThrow().reason();
    }

    @Test
    void shouldKeepUsingAgentWhenOnlyItsConnectionWasUnresponsive() {
        PeerChunkClient peers = new PeerChunkClient(client, TIMEOUT, LONG_TIMEOUT);
        assertEquals(Optional.of(3), index(request(peers)));
        relay.silence();
        assertEquals(Reason.NOT_READY, reason(request(peers)), "it responds on a new connection, so it is not skipped");
        assertEquals(Optional.of(3), index(request(peers)));
        relay.silence();
        assertEquals(Reason.NOT_READY, reason(request(peers)), "it has sent a chunk since then");
    }

    @Test
    void shouldReportTimeoutWhenAgentDoesNotRespondOnNewConnectionEither() {
        sendsChunks = false;
        sendsDigests = false;
        assertEquals(Reason.TIMEOUT, reason(request(new PeerChunkClient(client, SHORT_TIMEOUT, SHORT_TIMEOUT))));
    }

    @Test
    void shouldReportTimeoutWhenAgentDoesNotRespondToNextRequestEither() {
        sendsChunks = false;
        PeerChunkClient peers = new PeerChunkClient(client, SHORT_TIMEOUT, LONG_TIMEOUT);
        assertEquals(Reason.NOT_READY, reason(request(peers)));
        assertEquals(Reason.TIMEOUT, reason(request(peers)));
    }
}
