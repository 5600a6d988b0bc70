package org.micabarrow.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.weights.ChunkPeers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Requests chunks of weights from other agents. */
public final class PeerChunkClient implements ChunkPeers {

    private static final Logger LOG = LoggerFactory.getLogger(PeerChunkClient.class);

    static final String CHUNKS = "/chunks/";
    static final String DIGESTS = "/digests/";

    /** The response header with the index of the chunk. */
    static final String INDEX = "Chunk-Index";

    /** The response status of an agent that is still fetching the chunks itself. */
    static final int FETCHING = 503;

    /** The parameter of a request for chunks that states how long it may be held, in milliseconds. */
    static final String HOLD = "hold";

    /** How long a request for chunks may be held, in milliseconds; each that finds none costs both sides a call. */
    private static final long HOLD_MILLIS = 1_000;

    /** The timeout for a chunk: beyond the hold, a peer's link serves several clients in turn. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(HOLD_MILLIS + 1_000);

    /** The timeout for digests, which are not held: a link may be filled by chunks. */
    private static final Duration DIGESTS_TIMEOUT = Duration.ofMillis(1_500);

    /** The timeout for a response on a new connection: a round trip between regions and a few milliseconds of work. */
    private static final Duration NEW_CONNECTION_TIMEOUT = Duration.ofMillis(400);

    private static final int OK = 200;

    private final HttpClient client;
    private final Duration responseTimeout;
    private final Duration newConnectionTimeout;

    /** Agents that left the last request for a chunk without a response, but responded on a new connection. */
    private final Set<String> excusedAgents = ConcurrentHashMap.newKeySet();

    /**
     * Creates a client.
     *
     * @param client sends its requests
     */
    public PeerChunkClient(HttpClient client) {
        this(Objects.requireNonNull(client, "client is null"), RESPONSE_TIMEOUT, NEW_CONNECTION_TIMEOUT);
    }

    /**
     * Creates a client with given timeouts.
     *
     * @param client sends its requests
     * @param responseTimeout the timeout for a chunk
     * @param newConnectionTimeout the timeout for a response on a new connection, after a request without a response
     */
    PeerChunkClient(HttpClient client, Duration responseTimeout, Duration newConnectionTimeout) {
        this.client = client;
        this.responseTimeout = responseTimeout;
        this.newConnectionTimeout = newConnectionTimeout;
    }

    private <T> Result<T> get(String peer, String path, Duration timeout, Function<HttpResponse, Result<T>> reader) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + peer + path));
        return client.read(call, timeout, response -> switch (response.status()) {
            case OK -> reader.apply(response);
            case FETCHING -> Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_READY, "it is still fetching"));
            default ->
                Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_FOUND, "it returned status " + response.status()));
        });
    }

    @Override
    public Result<List<String>> digests(String agent, String model, long version) {
        return get(agent, DIGESTS + model + "/" + version, DIGESTS_TIMEOUT, response -> {
            try {
                JsonNode json = CanonicalJson.mapper().readTree(response.json());
                List<String> digests = new ArrayList<>();
                json.forEach(digest -> digests.add(digest.asText()));
                return Result.success(digests);
            } catch (IOException e) {
                return Result.failure(Fault.of(Step.FETCH, agent, Reason.CORRUPT, "not JSON: " + e.getMessage()));
            }
        });
    }

    @Override
    public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
        Result<HttpResponse> response = get(
                agent,
                CHUNKS + model + "/" + version + "/" + formatChunks(wanted) + "?" + HOLD + "=" + HOLD_MILLIS,
                responseTimeout,
                Result::success);
        if (response instanceof Result.Failure<HttpResponse>(Fault fault) && lacksResponse(fault)) {
            return Result.failure(excuseIfResponsive(agent, model, version) ? connectionFault(agent, fault) : fault);
        }
        excusedAgents.remove(agent);
        return response.flatMap(received -> parseChunk(agent, received));
    }

    private static Result<IndexedChunk> parseChunk(String agent, HttpResponse response) {
        try {
            int index = Integer.parseInt(response.headers().joined(INDEX).orElse(""));
            return Result.success(new IndexedChunk(index, response.body()));
        } catch (NumberFormatException e) {
            return Result.failure(Fault.of(Step.FETCH, agent, Reason.CORRUPT, "the chunk has no index"));
        }
    }

    // -- broken and unresponsive connections

    /** Whether no response arrived, which may be due only to the connection that was used. */
    private static boolean lacksResponse(Fault fault) {
        return fault.reason() == Reason.TIMEOUT || fault.reason() == Reason.UNREACHABLE;
    }

    /**
     * Whether to use an agent again that left a request without a response. Its connection may have become permanently
     * unresponsive while the agent itself works, and then it must not be skipped for long. An agent is excused only
     * once until it responds to a request for a chunk again, since one that is paused or whose link is full would delay
     * the copy each time.
     */
    private boolean excuseIfResponsive(String agent, String model, long version) {
        boolean excused = !excusedAgents.remove(agent) && respondsOnNewConnection(agent, model, version);
        if (excused) {
            excusedAgents.add(agent);
        }
        return excused;
    }

    /** Whether an agent responds to a small request, even if only to state that it has no such version. */
    private boolean respondsOnNewConnection(String agent, String model, long version) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + agent + DIGESTS + model + "/" + version));
        return client.call(call, newConnectionTimeout).toOptional().isPresent();
    }

    private static Fault connectionFault(String agent, Fault fault) {
        LOG.info("event=peer_asked_anew peer={} why=\"{}\"", agent, fault);
        return Fault.of(Step.FETCH, agent, Reason.NOT_READY, "it responds on a new connection");
    }

    // -- wanted chunks

    private static String formatChunks(BitSet wanted) {
        return HexFormat.of().formatHex(wanted.toByteArray());
    }

    /** Parses the set of chunks that {@link #fetchAnyOf} writes. */
    static BitSet parseChunks(String wanted) {
        return BitSet.valueOf(HexFormat.of().parseHex(wanted));
    }
}
