package org.micabarrow.standin;

import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.protocol.PlatformMessages;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.transport.EndpointClient;
import org.micabarrow.transport.HttpListener;

/**
 * Simulated model engine. Its answers contain a fingerprint of the chunks that were staged when the version was loaded,
 * so that tests detect partial or mixed weights.
 */
public final class EngineStandin implements AutoCloseable {

    private static final int DEFAULT_TOKENS = 16;

    private final Timing timing;
    private final Map<String, TreeMap<Integer, String>> stagedDigests = new ConcurrentHashMap<>();
    private final Map<String, String> loadedFingerprints = new ConcurrentHashMap<>();
    private final Map<String, Integer> runsByAttempt = new ConcurrentHashMap<>();
    private final PrioritySlots slots;
    private final AtomicInteger rejectedOrders = new AtomicInteger();
    private final HttpListener listener;
    private Endpoint.Fence highestFence = new Endpoint.Fence(0, -1);
    private volatile int slowdownFactor = 1;

    private EngineStandin(String address, Timing timing) {
        this.timing = timing;
        this.slots = new PrioritySlots(timing.slots());
        this.listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                Math.max(1, timing.slots() / 2),
                Optional.empty(),
                new BlockingHandler(Handlers.path()
                        .addExactPath("/report", this::handleReport)
                        .addPrefixPath("/weights", this::handleStagedChunk)
                        .addExactPath("/orders", this::handleOrder)
                        .addExactPath("/runs", exchange -> JsonExchanges.sendJson(exchange, runsByAttempt))
                        .addExactPath("/v1/chat/completions", this::handleChat)));
    }

    /**
     * Concurrency and latencies of an engine.
     *
     * @param slots number of requests that run concurrently
     * @param prefillMillis time to first token
     * @param tokenMillis time per output token
     */
    public record Timing(int slots, long prefillMillis, long tokenMillis) {}

    /**
     * Starts an engine.
     *
     * @param address the host and port
     * @param timing its concurrency and latencies
     * @return the running engine
     */
    public static EngineStandin start(String address, Timing timing) {
        return new EngineStandin(address, timing);
    }

    /**
     * Returns how many times each attempt was executed.
     *
     * @return the counts by attempt
     */
    public Map<String, Integer> runsByAttempt() {
        return Map.copyOf(runsByAttempt);
    }

    /**
     * Slows the engine down by a factor.
     *
     * @param factor the factor by which latencies exceed the configured timing
     */
    public void setSlowdownFactor(int factor) {
        slowdownFactor = factor;
    }

    /**
     * Returns the loaded versions with their fingerprints.
     *
     * @return the fingerprints by version
     */
    public Map<String, String> loadedFingerprints() {
        return Map.copyOf(loadedFingerprints);
    }

    // -- orders

    private void handleReport(HttpServerExchange exchange) {
        JsonExchanges.sendJson(
                exchange,
                new Endpoint.Report(
                        List.copyOf(loadedFingerprints.keySet()), slots.running(), slots.waiting(), timing.slots()));
    }

    private void handleStagedChunk(HttpServerExchange exchange) throws IOException {
        String[] path = JsonExchanges.pathSegments(exchange);
        byte[] data = exchange.getInputStream().readAllBytes();
        TreeMap<Integer, String> chunks = stagedDigests.computeIfAbsent(path[1], key -> new TreeMap<>());
        synchronized (chunks) {
            chunks.put(Integer.parseInt(path[3]), Digest.of(data));
            JsonExchanges.sendJson(exchange, new PlatformMessages.StagedChunkCount(chunks.size()));
        }
    }

    private synchronized void handleOrder(HttpServerExchange exchange) throws IOException {
        Endpoint.Order order = JsonExchanges.readBody(exchange, Endpoint.Order.class);
        if (order.fence().compareTo(highestFence) < 0) {
            rejectedOrders.incrementAndGet();
            JsonExchanges.sendJson(
                    exchange, new PlatformMessages.OrderResponse(false, "the fence is lower than " + highestFence));
            return;
        }
        highestFence = order.fence();
        switch (order.action()) {
            case LOAD -> load(order);
            case UNLOAD -> loadedFingerprints.remove(order.version());
        }
        JsonExchanges.sendJson(exchange, new PlatformMessages.OrderResponse(true, ""));
    }

    private void load(Endpoint.Order order) {
        List<String> digests = new ArrayList<>();
        for (String artifact : order.artifacts()) {
            TreeMap<Integer, String> chunks = stagedDigests.getOrDefault(artifact, new TreeMap<>());
            synchronized (chunks) {
                digests.addAll(chunks.values());
            }
        }
        loadedFingerprints.put(order.version(), WeightsStandin.fingerprint(digests));
    }

    // -- requests

    private void handleChat(HttpServerExchange exchange) throws IOException, InterruptedException {
        String attempt = Optional.ofNullable(exchange.getRequestHeaders().getFirst(EndpointClient.ATTEMPT))
                .orElse("");
        String version = Optional.ofNullable(exchange.getRequestHeaders().getFirst(EndpointClient.VERSION))
                .orElse("");
        Optional<String> fingerprint = Optional.ofNullable(loadedFingerprints.get(version));
        if (fingerprint.isEmpty()) {
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.NOT_RUN), "true");
            JsonExchanges.sendStatus(exchange, 503);
            return;
        }
        Map<?, ?> body = JsonExchanges.readBody(exchange, Map.class);
        int tokens = body.get("max_tokens") instanceof Integer count ? count : DEFAULT_TOKENS;
        boolean stream = Boolean.TRUE.equals(body.get("stream"));
        boolean urgent = "0".equals(exchange.getRequestHeaders().getFirst(EndpointClient.PRIORITY));
        runsByAttempt.merge(attempt, 1, Integer::sum);
        slots.acquire(urgent);
        try {
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.ATTEMPT), attempt);
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.VERSION), version);
            Thread.sleep(timing.prefillMillis() * slowdownFactor);
            String prompt = String.valueOf(body.get("messages"));
            if (stream) {
                streamCompletion(exchange, attempt, fingerprint.get(), tokens, prompt);
            } else {
                sendCompletion(exchange, attempt, fingerprint.get(), tokens, prompt);
            }
        } finally {
            slots.release();
        }
    }

    private void sendCompletion(
            HttpServerExchange exchange, String attempt, String fingerprint, int tokens, String prompt)
            throws InterruptedException {
        Thread.sleep(timing.tokenMillis() * tokens * slowdownFactor);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(fingerprint, i));
        }
        JsonExchanges.sendJson(
                exchange,
                Map.of(
                        "id", attempt,
                        "echo", Digest.of(prompt),
                        "choices",
                                List.of(Map.of("message", Map.of("role", "assistant", "content", text.toString())))));
    }

    private void streamCompletion(
            HttpServerExchange exchange, String attempt, String fingerprint, int tokens, String prompt)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        for (int i = 0; i < tokens; i++) {
            writeEvent(
                    out,
                    new String(
                            CanonicalJson.write(Map.of(
                                    "id", attempt,
                                    "echo", Digest.of(prompt),
                                    "choices", List.of(Map.of("delta", Map.of("content", token(fingerprint, i)))))),
                            StandardCharsets.UTF_8));
            Thread.sleep(timing.tokenMillis() * slowdownFactor);
        }
        writeEvent(out, "[DONE]");
        out.close();
    }

    private static void writeEvent(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String token(String fingerprint, int index) {
        return fingerprint + ":" + index + " ";
    }

    @Override
    public void close() {
        listener.close();
    }
}
