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

/** Sends requests to entries as a caller does, and judges what comes back. */
final class Caller implements AutoCloseable {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int TRIES = 100;
    private static final long PAUSE_MILLIS = 200;

    private final HttpClient http;

    Caller(String name) {
        this.http = HttpClient.start(name, 2);
    }

    /** How a request ended, as its caller sees it. */
    enum Ending {
        ANSWERED,
        NOT_RUN,
        UNKNOWN,
        LOST
    }

    /**
     * A request's end.
     *
     * @param ending how it ended
     * @param hall where it was handled, empty if the answer does not say
     * @param instance the instance that handled it
     * @param version the version that answered
     * @param text the body
     * @param millis how long it took
     */
    record Seen(Ending ending, String hall, String instance, String version, String text, double millis) {}

    static Map<String, Object> chatBody(String model, String prompt, int tokens, boolean stream) {
        Map<String, Object> body = new HashMap<>();
        body.put("model", model);
        body.put("stream", stream);
        body.put("max_tokens", tokens);
        body.put("messages", List.of(Map.of("role", "user", "content", prompt)));
        return body;
    }

    Seen chat(String entry, String token, Map<String, Object> body) {
        Seen seen = send(entry + "/v1/chat/completions", token, CanonicalJson.write(body), Map.of());
        boolean stream = Boolean.TRUE.equals(body.get("stream"));
        boolean cut = stream && seen.ending() == Ending.ANSWERED && !seen.text().contains("data: [DONE]");
        return cut
                ? new Seen(Ending.LOST, seen.hall(), seen.instance(), seen.version(), seen.text(), seen.millis())
                : seen;
    }

    Seen charge(String entry, String token, String service, String key, byte[] body) {
        return send(entry + "/services/" + service + "/charges", token, body, Map.of("Idempotency-Key", key));
    }

    Seen send(String url, String token, byte[] body, Map<String, String> headers) {
        HttpCall call = HttpCall.post(Fault.Step.READ, URI.create(url), body)
                .withHeader("Authorization", "Bearer " + token)
                .withHeader("Content-Type", "application/json");
        for (Map.Entry<String, String> header : headers.entrySet()) {
            call = call.withHeader(header.getKey(), header.getValue());
        }
        long start = System.nanoTime();
        Result<HttpResponse> answer = http.call(call, TIMEOUT);
        double millis = (System.nanoTime() - start) / 1e6;
        return answer.toOptional()
                .map(one -> seen(one, millis))
                .orElseGet(() -> new Seen(Ending.LOST, "", "", "", String.valueOf(answer.cause()), millis));
    }

    private static Seen seen(HttpResponse answer, double millis) {
        Optional<String> outcome = Optional.ofNullable(answer.headers().get("X-Micabarrow-Outcome"));
        Ending ending = switch (outcome.orElse("answered")) {
            case "not_run" -> Ending.NOT_RUN;
            case "unknown" -> Ending.UNKNOWN;
            default -> Ending.ANSWERED;
        };
        return new Seen(
                ending,
                answer.headers().getOrDefault("X-Micabarrow-Hall", ""),
                answer.headers().getOrDefault("X-Micabarrow-Instance", ""),
                answer.headers().getOrDefault("X-Micabarrow-Version", ""),
                new String(answer.body(), StandardCharsets.UTF_8),
                millis);
    }

    <T> T fetch(String url, Class<T> type) {
        return read(HttpCall.get(Fault.Step.READ, URI.create(url)), type);
    }

    <T> T post(String url, Object body, Class<T> type) {
        return read(HttpCall.post(Fault.Step.READ, URI.create(url), CanonicalJson.write(body)), type);
    }

    /** Reads an answer; a process that is still starting is asked again. */
    private <T> T read(HttpCall call, Class<T> type) {
        Result<HttpResponse> answer = http.call(call, TIMEOUT);
        for (int i = 0; i < TRIES && answer instanceof Result.Failure; i++) {
            pause();
            answer = http.call(call, TIMEOUT);
        }
        try {
            return CanonicalJson.read(answer.toOptional().orElseThrow().body(), type);
        } catch (IOException e) {
            throw new IllegalStateException(call.uri() + " gave what cannot be read", e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        http.close();
    }
}
