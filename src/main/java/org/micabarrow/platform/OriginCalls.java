package org.micabarrow.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.weights.OriginVersions;
import org.micabarrow.weights.OriginVersions.VersionDigests;
import org.micabarrow.weights.WeightOrigin;

/** The platform's calls to the origin of weights. */
public final class OriginCalls implements WeightOrigin, OriginVersions.Origin {

    /** Timeout of a call: some dozens of chunks share the origin's link at once, on which one takes a few tens of ms. */
    private static final Duration TIMEOUT = Duration.ofMillis(2_500);

    private static final int OK = 200;

    private final HttpClient caller;

    /**
     * Creates a client.
     *
     * @param caller sends its requests
     */
    public OriginCalls(HttpClient caller) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
    }

    private <T> Result<T> get(String address, String pathAndQuery, Function<HttpResponse, Result<T>> reader) {
        HttpCall call = HttpCall.get(Step.FETCH, URI.create("http://" + address + pathAndQuery));
        return caller.read(
                call,
                TIMEOUT,
                answer -> answer.status() == OK
                        ? reader.apply(answer)
                        : Result.failure(Fault.of(
                                Step.FETCH, address, Reason.NOT_FOUND, "the origin answered " + answer.status())));
    }

    @Override
    public Result<List<String>> digests(String address, String model, long version) {
        return list(address, WireNames.DIGESTS + model + "?version=" + version, json -> digests(address, json));
    }

    @Override
    public Result<VersionDigests> newest(String address, String model) {
        return list(address, WireNames.DIGESTS + model, json -> {
            JsonNode version = json.path("version");
            return version.isIntegralNumber() && version.canConvertToLong() && version.longValue() > 0
                    ? digests(address, json).map(digests -> new VersionDigests(version.longValue(), digests))
                    : broken(address, "it states no version");
        });
    }

    private <T> Result<T> list(String address, String pathAndQuery, Function<JsonNode, Result<T>> reader) {
        return get(address, pathAndQuery, answer -> {
            try {
                return reader.apply(CanonicalJson.mapper().readTree(answer.json()));
            } catch (IOException e) {
                return broken(address, "it is not JSON: " + e.getMessage());
            }
        });
    }

    private static Result<List<String>> digests(String address, JsonNode json) {
        List<String> digests = new ArrayList<>();
        json.path("digests").forEach(one -> digests.add(one.asText()));
        return digests.isEmpty() ? broken(address, "it lists no digest") : Result.success(digests);
    }

    private static <T> Result<T> broken(String address, String why) {
        return Result.failure(Fault.of(Step.FETCH, address, Reason.CORRUPT, "the list of digests: " + why));
    }

    @Override
    public Result<byte[]> chunk(String address, String model, long version, int index) {
        // The index of a chunk is called "sample_count" on the wire.
        return get(
                address,
                WireNames.CHUNK + model + "?sample_count=" + index + "&version=" + version,
                answer -> Result.success(answer.body()));
    }
}
