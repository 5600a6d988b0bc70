package org.micabarrow.bench;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** HTTP client that sends requests to entries as callers do and classifies the responses. */
final class ClientCalls implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int MAX_ATTEMPTS = 100;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final HttpClient http;

    ClientCalls(String name) {
        this.http = HttpClient.start(name, 2);
    }

    /** Outcome of a request as observed by its caller. */
    enum Outcome {
        ANSWERED,
        NOT_RUN,
        UNKNOWN,
        LOST
    }

    /**
     * A response with its classification.
     *
     * @param outcome the outcome
     * @param hall the data hall that handled the request, empty if not stated
     * @param instance the instance that handled the request
     * @param version the weight version that produced the answer
     * @param text the response body
     * @param millis the latency
     */
    record Response(Outcome outcome, String hall, String instance, String version, String text, double millis) {}

    static Map<String, Object> chatBody(String model, String prompt, int tokens, boolean stream) {
        Map<String, Object> body = new HashMap<>();
        body.put("model", model);
        body.put("stream", stream);
        body.put("max_tokens", tokens);
        body.put("messages", List.of(Map.of("role", "user", "content", prompt)));
        return body;
    }

    Response chat(String entry, String token, Map<String, Object> body) {
        Response response = send(entry + "/v1/chat/completions", token, CanonicalJson.write(body), Map.of());
        boolean stream = Boolean.TRUE.equals(body.get("stream"));
        boolean truncated = stream
                && response.outcome() == Outcome.ANSWERED
                && !response.text().contains("data: [DONE]");
        return truncated
                ? new Response(
                        Outcome.LOST,
                        response.hall(),
                        response.instance(),
                        response.version(),
                        response.text(),
                        response.millis())
                : response;
    }

    Response charge(String entry, String token, String service, String key, byte[] body) {
        return send(entry + "/services/" + service + "/charges", token, body, Map.of("Idempotency-Key", key));
    }

    Response send(String url, String token, byte[] body, Map<String, String> headers) {
        HttpCall call = HttpCall.post(Fault.Step.READ, URI.create(url), body)
                .withHeader("Authorization", "Bearer " + token)
                .withHeader("Content-Type", "application/json");
        for (Map.Entry<String, String> header : headers.entrySet()) {
            call = call.withHeader(header.getKey(), header.getValue());
        }
        long start = System.nanoTime();
        Result<HttpResponse> result = http.call(call, TIMEOUT);
        double millis = (System.nanoTime() - start) / 1e6;
        return result.toOptional()
                .map(one -> toResponse(one, millis))
                .orElseGet(() -> new Response(Outcome.LOST, "", "", "", String.valueOf(result.cause()), millis));
    }

    private static Response toResponse(HttpResponse httpResponse, double millis) {
        Optional<String> header = httpResponse.headers().first("X-Micabarrow-Outcome");
        Outcome result = switch (header.orElse("answered")) {
            case "not_run" -> Outcome.NOT_RUN;
            case "unknown" -> Outcome.UNKNOWN;
            default -> Outcome.ANSWERED;
        };
        return new Response(
                result,
                httpResponse.headers().first("X-Micabarrow-Hall").orElse(""),
                httpResponse.headers().first("X-Micabarrow-Instance").orElse(""),
                httpResponse.headers().first("X-Micabarrow-Version").orElse(""),
                new String(httpResponse.body(), StandardCharsets.UTF_8),
                millis);
    }

    <T> T fetch(String url, Class<T> type) {
        return read(HttpCall.get(Fault.Step.READ, URI.create(url)), type);
    }

    <T> T post(String url, Object body, Class<T> type) {
        return read(HttpCall.post(Fault.Step.READ, URI.create(url), CanonicalJson.write(body)), type);
    }

    /** Sends a call and parses the response, retrying while the process is still starting. */
    private <T> T read(HttpCall call, Class<T> type) {
        Result<HttpResponse> result = http.call(call, TIMEOUT);
        for (int i = 0; i < MAX_ATTEMPTS && result instanceof Result.Failure; i++) {
            waitBeforeRetry();
            result = http.call(call, TIMEOUT);
        }
        try {
            return CanonicalJson.read(result.toOptional().orElseThrow().body(), type);
        } catch (IOException e) {
            throw new IllegalStateException(call.uri() + " returned a body that cannot be parsed", e);
        }
    }

    private static void waitBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        http.close();
    }
}
