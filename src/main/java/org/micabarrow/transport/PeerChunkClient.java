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
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpAnswer;
import org.micabarrow.weights.ChunkPeers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks other agents for chunks of weights. */
public final class PeerChunkClient implements ChunkPeers {

    private static final Logger LOG = LoggerFactory.getLogger(PeerChunkClient.class);

    static final String CHUNKS = "/chunks/";
    static final String DIGESTS = "/digests/";

    /** The header that names the chunk in an answer. */
    static final String INDEX = "Chunk-Index";

    /** The status that says that the agent is fetching the chunks itself. */
    static final int FETCHING = 503;

    /** How long a peer may take: it holds a question for a while, and its link serves several askers in turn. */
    private static final Duration WITHIN = Duration.ofMillis(1_500);

    /** How long a peer may take to answer on a new connection: a round trip between regions and a few milliseconds of work. */
    private static final Duration ANEW = Duration.ofMillis(400);

    private static final int OK = 200;

    private final HttpClient caller;
    private final Duration within;
    private final Duration anew;

    /** Agents that left their last question without an answer, and then answered on a new connection. */
    private final Set<String> forgiven = ConcurrentHashMap.newKeySet();

    /**
     * Makes a client.
     *
     * @param caller sends its requests
     */
    public PeerChunkClient(HttpClient caller) {
        this(Objects.requireNonNull(caller, "caller is null"), WITHIN, ANEW);
    }

    /**
     * Makes a client with limits of its own.
     *
     * @param caller sends its requests
     * @param within how long a peer may take
     * @param anew how long a peer may take to answer on a new connection after it left a question without an answer
     */
    PeerChunkClient(HttpClient caller, Duration within, Duration anew) {
        this.caller = caller;
        this.within = within;
        this.anew = anew;
    }

    private Result<HttpAnswer> get(String peer, String path) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + peer + path));
        return caller.call(call, within).flatMap(answer -> switch (answer.status()) {
            case OK -> Result.success(answer);
            case FETCHING -> Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_READY, "it is still fetching"));
            default -> Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_FOUND, "it answered " + answer.status()));
        });
    }

    @Override
    public Result<List<String>> digests(String agent, String model, long version) {
        return get(agent, DIGESTS + model + "/" + version).flatMap(answer -> {
            try {
                JsonNode json = CanonicalJson.mapper().readTree(answer.body());
                List<String> digests = new ArrayList<>();
                json.forEach(one -> digests.add(one.asText()));
                return Result.success(digests);
            } catch (IOException e) {
                return Result.failure(Fault.of(Step.FETCH, agent, Reason.CORRUPT, "not JSON: " + e.getMessage()));
            }
        });
    }

    @Override
    public Result<IndexedChunk> fetchAnyOf(String agent, String model, long version, BitSet wanted) {
        Result<HttpAnswer> answer = get(agent, CHUNKS + model + "/" + version + "/" + write(wanted));
        if (answer instanceof Result.Failure<HttpAnswer>(Fault fault) && broken(fault)) {
            return Result.failure(forgives(agent, model, version) ? onlyConnection(agent, fault) : fault);
        }
        forgiven.remove(agent);
        return answer.flatMap(given -> numbered(agent, given));
    }

    private static Result<IndexedChunk> numbered(String agent, HttpAnswer answer) {
        try {
            int index = Integer.parseInt(answer.headers().getOrDefault(INDEX, ""));
            return Result.success(new IndexedChunk(index, answer.body()));
        } catch (NumberFormatException e) {
            return Result.failure(Fault.of(Step.FETCH, agent, Reason.CORRUPT, "the chunk has no index"));
        }
    }

    // -- connections that broke or fell silent

    /** Whether no answer came, which may be the fault of the one connection that was used. */
    private static boolean broken(Fault fault) {
        return fault.reason() == Reason.TIMEOUT || fault.reason() == Reason.UNREACHABLE;
    }

    /**
     * Whether an agent that left a question without an answer is to be asked again: its connection may have fallen silent for
     * good while the agent is well, and then it must not be passed over for long. Once only until it answers a question again,
     * since one that stands still or whose link is full would hold the copy up each time.
     */
    private boolean forgives(String agent, String model, long version) {
        boolean again = !forgiven.remove(agent) && answersAnew(agent, model, version);
        if (again) {
            forgiven.add(agent);
        }
        return again;
    }

    /** Whether an agent answers a small question, be it that it has no such version. */
    private boolean answersAnew(String agent, String model, long version) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + agent + DIGESTS + model + "/" + version));
        return caller.call(call, anew).toOptional().isPresent();
    }

    private static Fault onlyConnection(String agent, Fault fault) {
        LOG.info("event=peer_asked_anew peer={} why=\"{}\"", agent, fault);
        return Fault.of(Step.FETCH, agent, Reason.NOT_READY, "it answers on a new connection");
    }

    // -- chunks that are wanted

    private static String write(BitSet wanted) {
        return HexFormat.of().formatHex(wanted.toByteArray());
    }

    /** Reads what {@link #fetchAnyOf} writes. */
    static BitSet read(String wanted) {
        return BitSet.valueOf(HexFormat.of().parseHex(wanted));
    }
}
