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
 * A model engine. Its answers carry a fingerprint of the bytes that were really staged when the version was loaded, so
 * that partial or mixed weights show.
 */
public final class EngineStandin implements AutoCloseable {

    private static final int USUAL_TOKENS = 16;

    private final Timing timing;
    private final Map<String, TreeMap<Integer, String>> staged = new ConcurrentHashMap<>();
    private final Map<String, String> loaded = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final PrioritySlots slots;
    private final AtomicInteger refusedOrders = new AtomicInteger();
    private final HttpListener listener;
    private Endpoint.Fence highest = new Endpoint.Fence(0, -1);
    private volatile int slowness = 1;

    private EngineStandin(String address, Timing timing) {
        this.timing = timing;
        this.slots = new PrioritySlots(timing.slots());
        this.listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                Math.max(1, timing.slots() / 2),
                Optional.empty(),
                new BlockingHandler(Handlers.path()
                        .addExactPath("/report", this::report)
                        .addPrefixPath("/weights", this::stage)
                        .addExactPath("/orders", this::order)
                        .addExactPath("/runs", exchange -> Replies.json(exchange, runs))
                        .addExactPath("/v1/chat/completions", this::chat)));
    }

    /**
     * How fast an engine is.
     *
     * @param slots how many requests run at once
     * @param prefillMillis the time until the first token
     * @param tokenMillis the time between tokens
     */
    public record Timing(int slots, long prefillMillis, long tokenMillis) {}

    /**
     * Starts an engine.
     *
     * @param address the host and port
     * @param timing how fast it is
     * @return the running engine
     */
    public static EngineStandin start(String address, Timing timing) {
        return new EngineStandin(address, timing);
    }

    /**
     * How often each attempt has run.
     *
     * @return the counts by attempt
     */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    /**
     * Makes the engine slower.
     *
     * @param times how many times slower than its timing
     */
    public void slow(int times) {
        slowness = times;
    }

    /**
     * The versions loaded, with their fingerprints.
     *
     * @return the fingerprints by version
     */
    public Map<String, String> loaded() {
        return Map.copyOf(loaded);
    }

    // -- orders

    private void report(HttpServerExchange exchange) {
        Replies.json(
                exchange,
                new Endpoint.Report(List.copyOf(loaded.keySet()), slots.running(), slots.waiting(), timing.slots()));
    }

    private void stage(HttpServerExchange exchange) throws IOException {
        String[] path = Replies.path(exchange);
        byte[] data = exchange.getInputStream().readAllBytes();
        TreeMap<Integer, String> chunks = staged.computeIfAbsent(path[1], key -> new TreeMap<>());
        synchronized (chunks) {
            chunks.put(Integer.parseInt(path[3]), Digest.of(data));
            Replies.json(exchange, new PlatformMessages.StagedChunkCount(chunks.size()));
        }
    }

    private synchronized void order(HttpServerExchange exchange) throws IOException {
        Endpoint.Order order = Replies.body(exchange, Endpoint.Order.class);
        if (order.fence().compareTo(highest) < 0) {
            refusedOrders.incrementAndGet();
            Replies.json(exchange, new PlatformMessages.OrderResponse(false, "the fence is lower than " + highest));
            return;
        }
        highest = order.fence();
        switch (order.action()) {
            case LOAD -> load(order);
            case UNLOAD -> loaded.remove(order.version());
        }
        Replies.json(exchange, new PlatformMessages.OrderResponse(true, ""));
    }

    private void load(Endpoint.Order order) {
        List<String> digests = new ArrayList<>();
        for (String artifact : order.artifacts()) {
            TreeMap<Integer, String> chunks = staged.getOrDefault(artifact, new TreeMap<>());
            synchronized (chunks) {
                digests.addAll(chunks.values());
            }
        }
        loaded.put(order.version(), WeightsStandin.fingerprint(digests));
    }

    // -- requests

    private void chat(HttpServerExchange exchange) throws IOException, InterruptedException {
        String attempt = Optional.ofNullable(exchange.getRequestHeaders().getFirst(EndpointClient.ATTEMPT))
                .orElse("");
        String version = Optional.ofNullable(exchange.getRequestHeaders().getFirst(EndpointClient.VERSION))
                .orElse("");
        Optional<String> fingerprint = Optional.ofNullable(loaded.get(version));
        if (fingerprint.isEmpty()) {
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.NOT_RUN), "true");
            Replies.status(exchange, 503);
            return;
        }
        Map<?, ?> body = Replies.body(exchange, Map.class);
        int tokens = body.get("max_tokens") instanceof Integer count ? count : USUAL_TOKENS;
        boolean stream = Boolean.TRUE.equals(body.get("stream"));
        boolean urgent = "0".equals(exchange.getRequestHeaders().getFirst(EndpointClient.PRIORITY));
        runs.merge(attempt, 1, Integer::sum);
        slots.take(urgent);
        try {
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.ATTEMPT), attempt);
            exchange.getResponseHeaders().put(new HttpString(EndpointClient.VERSION), version);
            Thread.sleep(timing.prefillMillis() * slowness);
            String last = String.valueOf(body.get("messages"));
            if (stream) {
                streamed(exchange, attempt, fingerprint.get(), tokens, last);
            } else {
                whole(exchange, attempt, fingerprint.get(), tokens, last);
            }
        } finally {
            slots.give();
        }
    }

    private void whole(HttpServerExchange exchange, String attempt, String fingerprint, int tokens, String asked)
            throws InterruptedException {
        Thread.sleep(timing.tokenMillis() * tokens * slowness);
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(fingerprint, i));
        }
        Replies.json(
                exchange,
                Map.of(
                        "id", attempt,
                        "echo", Digest.of(asked),
                        "choices",
                                List.of(Map.of("message", Map.of("role", "assistant", "content", text.toString())))));
    }

    private void streamed(HttpServerExchange exchange, String attempt, String fingerprint, int tokens, String asked)
            throws IOException, InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        OutputStream out = exchange.getOutputStream();
        for (int i = 0; i < tokens; i++) {
            event(
                    out,
                    new String(
                            CanonicalJson.write(Map.of(
                                    "id", attempt,
                                    "echo", Digest.of(asked),
                                    "choices", List.of(Map.of("delta", Map.of("content", token(fingerprint, i)))))),
                            StandardCharsets.UTF_8));
            Thread.sleep(timing.tokenMillis() * slowness);
        }
        event(out, "[DONE]");
        out.close();
    }

    private static void event(OutputStream out, String data) throws IOException {
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
