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

/** What is made of an agent that leaves a question for chunks without an answer. */
class PeerChunkClientTest {

    /** Each question without an answer costs a test this once; a busy machine answers within it. */
    private static final Duration WITHIN = Duration.ofSeconds(3);

    /** So long that a busy machine is never taken for a silent one. */
    private static final Duration LONG = Duration.ofSeconds(30);

    private static final Duration SHORT = Duration.ofMillis(200);

    private HttpListener agent;
    private SilentRelay relay;
    private HttpClient caller;
    private volatile boolean givesChunks = true;
    private volatile boolean givesDigests = true;

    @BeforeEach
    void start() throws Exception {
        String address = Ports.freeAddress();
        agent = HttpListener.start(address, HttpListener.Bounds.usual(), 1, Optional.empty(), this::answer);
        relay = SilentRelay.to(address);
        caller = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        relay.close();
        agent.close();
    }

    private void answer(HttpServerExchange exchange) {
        boolean chunk = exchange.getRequestPath().startsWith(PeerChunkClient.CHUNKS);
        if (chunk && givesChunks) {
            exchange.getResponseHeaders().put(new HttpString(PeerChunkClient.INDEX), 3);
            exchange.getResponseSender().send("a chunk");
        } else if (!chunk && givesDigests) {
            exchange.getResponseSender().send("[]");
        } else {
            exchange.dispatch(() -> {});
        }
    }

    private Result<IndexedChunk> ask(PeerChunkClient peers) {
        BitSet wanted = new BitSet();
        wanted.set(3);
        return peers.fetchAnyOf(relay.address(), "m", 2, wanted);
    }

    private static Optional<Integer> given(Result<IndexedChunk> answer) {
        return answer.toOptional().map(IndexedChunk::index);
    }

    private static Reason reason(Result<IndexedChunk> answer) {
        return answer.cause().orElseThrow().reason();
    }

    @Test
    void shouldAskAgentOnWhenOnlyItsConnectionFellSilent() {
        PeerChunkClient peers = new PeerChunkClient(caller, WITHIN, LONG);
        assertEquals(Optional.of(3), given(ask(peers)));
        relay.silence();
        assertEquals(Reason.NOT_READY, reason(ask(peers)), "it answers on a new connection, so it is not passed over");
        assertEquals(Optional.of(3), given(ask(peers)));
        relay.silence();
        assertEquals(Reason.NOT_READY, reason(ask(peers)), "it has given a chunk since");
    }

    @Test
    void shouldCallAgentSilentWhenItDoesNotAnswerOnNewConnectionEither() {
        givesChunks = false;
        givesDigests = false;
        assertEquals(Reason.TIMEOUT, reason(ask(new PeerChunkClient(caller, SHORT, SHORT))));
    }

    @Test
    void shouldCallAgentSilentWhenItLeavesNextQuestionWithoutAnswerToo() {
        givesChunks = false;
        PeerChunkClient peers = new PeerChunkClient(caller, SHORT, LONG);
        assertEquals(Reason.NOT_READY, reason(ask(peers)));
        assertEquals(Reason.TIMEOUT, reason(ask(peers)));
    }
}
