package org.micabarrow.transport;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.weights.WeightOrigin;

/** Asks other agents for chunks of weights. */
public final class PeerChunks implements WeightOrigin {

    static final String CHUNKS = "/chunks/";
    static final String DIGESTS = "/digests/";

    /** How long a peer may take: it holds a request for a chunk that it is still fetching itself. */
    private static final Duration WITHIN = Duration.ofMillis(1_500);

    /** The status that says that the agent is fetching the chunk itself. */
    static final int FETCHING = 503;

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

    private Result<byte[]> get(String peer, String path) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + peer + path));
        return caller.call(call, WITHIN).flatMap(answer -> switch (answer.status()) {
            case OK -> Result.success(answer.body());
            case FETCHING -> Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_READY, "it is still fetching that"));
            default -> Result.failure(Fault.of(Step.FETCH, peer, Reason.NOT_FOUND, "it answered " + answer.status()));
        });
    }

    @Override
    public Result<List<String>> digests(String address, String model, long version) {
        return get(address, DIGESTS + model + "/" + version).flatMap(body -> {
            try {
                JsonNode json = CanonicalJson.mapper().readTree(body);
                List<String> digests = new ArrayList<>();
                json.forEach(one -> digests.add(one.asText()));
                return Result.success(digests);
            } catch (IOException e) {
                return Result.failure(Fault.of(Step.FETCH, address, Reason.CORRUPT, "not JSON: " + e.getMessage()));
            }
        });
    }

    @Override
    public Result<byte[]> chunk(String address, String model, long version, int index) {
        return get(address, CHUNKS + model + "/" + version + "/" + index);
    }
}
