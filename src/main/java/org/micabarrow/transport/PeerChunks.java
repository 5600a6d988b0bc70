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
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCaller.HttpAnswer;
import org.micabarrow.weights.ChunkPeers;

/** Asks other agents for chunks of weights. */
public final class PeerChunks implements ChunkPeers {

    static final String CHUNKS = "/chunks/";
    static final String DIGESTS = "/digests/";

    /** The header that names the chunk in an answer. */
    static final String INDEX = "Chunk-Index";

    /** The status that says that the agent is fetching the chunks itself. */
    static final int FETCHING = 503;

    /** How long a peer may take: it holds a question for a while, and its link serves several askers in turn. */
    private static final Duration WITHIN = Duration.ofMillis(1_500);

    private static final int OK = 200;

    private final HttpCaller caller;

    /**
     * Makes a client.
     *
     * @param caller sends its requests
     */
    public PeerChunks(HttpCaller caller) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
    }

    private Result<HttpAnswer> get(String peer, String path) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + peer + path));
        return caller.call(call, WITHIN).flatMap(answer -> switch (answer.status()) {
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
    public Result<Numbered> anyOf(String agent, String model, long version, BitSet wanted) {
        return get(agent, CHUNKS + model + "/" + version + "/" + write(wanted)).flatMap(answer -> {
            try {
                int index = Integer.parseInt(answer.headers().getOrDefault(INDEX, ""));
                return Result.success(new Numbered(index, answer.body()));
            } catch (NumberFormatException e) {
                return Result.failure(Fault.of(Step.FETCH, agent, Reason.CORRUPT, "the chunk has no index"));
            }
        });
    }

    private static String write(BitSet wanted) {
        return HexFormat.of().formatHex(wanted.toByteArray());
    }

    /** Reads what {@link #anyOf} writes. */
    static BitSet read(String wanted) {
        return BitSet.valueOf(HexFormat.of().parseHex(wanted));
    }
}
