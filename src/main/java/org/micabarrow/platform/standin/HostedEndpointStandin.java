package org.micabarrow.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Stands in for an endpoint on the users' platform, for its model's weights, and for their origin. What it does with the
 * next requests can be set; it keeps what it received. Safe for any number of threads.
 */
public final class HostedEndpointStandin implements HttpHandler {

    private static final HttpString ATTEMPT = new HttpString("Attempt-Id");
    private static final HttpString SIGNATURE = new HttpString("Server-Seal");
    private static final HttpString NOT_RUN = new HttpString("Not-Executed");
    private static final int CHUNKS = 4;
    private static final int CHUNK_BYTES = 1024;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;

    private final String id;
    private final String model;
    private final Queue<Behaviour> behaviours;
    private final ConcurrentLinkedQueue<Received> received = new ConcurrentLinkedQueue<>();
    private final Map<Integer, byte[]> staged = new HashMap<>();
    private final List<String> orders = new ArrayList<>();
    private final AtomicInteger hanging = new AtomicInteger();
    private long version;
    private int events = 3;

    /** What the stand-in does with a request. */
    public enum Behaviour {
        /** Answers as it should. */
        ANSWER,
        /** Refuses, and says that the request has not run. */
        REFUSE,
        /** Answers 503 without saying that the request has not run. */
        SILENT_REFUSE,
        /** Answers 500, signed. */
        FAIL,
        /** Closes the connection before any answer. */
        RESET,
        /** Closes the connection in the middle of the answer. */
        CUT,
        /** Gives the answer to another request. */
        OTHER_ANSWER,
        /** Gives an answer without its signature. */
        UNSIGNED,
        /** Says that another endpoint is here. */
        MISDIRECT,
        /** Never answers. */
        HANG
    }

    /**
     * A request as it came in.
     *
     * @param method its method
     * @param target its path and query
     * @param headers its headers, the first value of each
     * @param body its body
     */
    public record Received(String method, String target, Map<String, String> headers, String body) {}

    /**
     * Makes a stand-in.
     *
     * @param id the endpoint's id
     * @param model its model
     * @param version the weight version that it holds; 0 for none
     * @param behaviours what to do with the next requests; once empty, requests are answered as they should be
     */
    public HostedEndpointStandin(String id, String model, long version, Queue<Behaviour> behaviours) {
        this.id = id;
        this.model = model;
        this.version = version;
        this.behaviours = behaviours;
    }

    /**
     * How many events a stream has.
     *
     * @param count the number
     */
    public void events(int count) {
        events = count;
    }

    /**
     * The requests received.
     *
     * @return the requests, in order
     */
    public List<Received> received() {
        return List.copyOf(received);
    }

    /**
     * The orders taken.
     *
     * @return their bodies, in order
     */
    public synchronized List<String> orders() {
        return List.copyOf(orders);
    }

    /**
     * Spoils a staged chunk.
     *
     * @param index which one
     */
    public synchronized void spoil(int index) {
        staged.put(index, new byte[CHUNK_BYTES]);
    }

    /**
     * The bytes of a chunk at the origin.
     *
     * @param version the weight version
     * @param index which chunk
     * @return its bytes
     */
    public static byte[] chunk(long version, int index) {
        byte[] bytes = new byte[CHUNK_BYTES];
        java.util.Arrays.fill(bytes, (byte) (version * 16 + index));
        return bytes;
    }

    // -- answers

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((same, body) -> answer(same, body));
    }

    private void answer(HttpServerExchange exchange, byte[] body) {
        String path = exchange.getRequestPath();
        if (path.equals("/api/report")) {
            send(exchange, 200, report());
        } else if (path.equals("/api/order")) {
            order(exchange, body);
        } else if (path.startsWith("/api/stage-")) {
            stage(exchange, body);
        } else if (path.startsWith("/api/manifest/")) {
            send(exchange, 200, CanonicalJson.write(Map.of("digests", digests(number(exchange, "version")))));
        } else if (path.startsWith("/api/piece/")) {
            send(exchange, 200, chunk(number(exchange, "version"), (int) number(exchange, "sample_count")));
        } else {
            request(exchange, body);
        }
    }

    private static long number(HttpServerExchange exchange, String name) {
        return Long.parseLong(exchange.getQueryParameters().get(name).getFirst());
    }

    private static List<String> digests(long version) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            all.add(Digest.of(chunk(version, i)));
        }
        return all;
    }

    private static void send(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
    }

    // -- weights

    private synchronized byte[] report() {
        List<Map<String, Object>> models =
                version == 0 ? List.of() : List.of(Map.of("name", model, "version", version, "adapters", List.of()));
        return CanonicalJson.write(Map.of(
                "models", models, "busy", false, "sequence", orders.size(), "queued", 0, "running", received.size()));
    }

    private synchronized void order(HttpServerExchange exchange, byte[] body) {
        try {
            JsonNode json = CanonicalJson.mapper().readTree(body);
            version = json.path("version").asLong();
            orders.add(new String(body, StandardCharsets.UTF_8));
            send(exchange, ACCEPTED, new byte[0]);
        } catch (IOException e) {
            send(exchange, 400, e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized void stage(HttpServerExchange exchange, byte[] body) {
        int index = (int) number(exchange, "sample_count");
        if (exchange.getRequestPath().startsWith("/api/stage-put/")) {
            staged.put(index, body);
            send(exchange, 200, new byte[0]);
        } else if (staged.containsKey(index)) {
            send(exchange, 200, staged.get(index));
        } else {
            send(exchange, NOT_FOUND, new byte[0]);
        }
    }

    // -- requests

    private void request(HttpServerExchange exchange, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders()
                .forEach(values -> headers.put(values.getHeaderName().toString(), values.getFirst()));
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        received.add(new Received(
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI() + query,
                headers,
                new String(body, StandardCharsets.UTF_8)));
        exchange.getResponseHeaders().put(new HttpString("Instance-Id"), id);
        String attempt = exchange.getRequestHeaders().getFirst(ATTEMPT);
        exchange.getResponseHeaders().put(ATTEMPT, attempt == null ? "-" : attempt);
        behave(exchange, Optional.ofNullable(behaviours.poll()).orElse(Behaviour.ANSWER));
    }

    private void behave(HttpServerExchange exchange, Behaviour behaviour) {
        switch (behaviour) {
            case ANSWER -> good(exchange, false);
            case CUT -> good(exchange, true);
            case FAIL -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                send(exchange, 500, "failed".getBytes(StandardCharsets.UTF_8));
            }
            case REFUSE -> {
                exchange.getResponseHeaders().put(NOT_RUN, "1");
                send(exchange, UNAVAILABLE, new byte[0]);
            }
            case SILENT_REFUSE -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                send(exchange, UNAVAILABLE, new byte[0]);
            }
            case RESET -> IoUtils.safeClose(exchange.getConnection());
            case OTHER_ANSWER -> {
                exchange.getResponseHeaders().put(ATTEMPT, "another");
                good(exchange, false);
            }
            case UNSIGNED -> send(exchange, 200, "plain".getBytes(StandardCharsets.UTF_8));
            case MISDIRECT -> send(exchange, MISDIRECTED, new byte[0]);
            case HANG -> hang(exchange);
        }
    }

    /** Holds a request until its connection is closed, which shows by an attempt to read on. */
    private void hang(HttpServerExchange exchange) {
        hanging.incrementAndGet();
        exchange.getConnection().addCloseListener(closed -> hanging.decrementAndGet());
        exchange.dispatch(() -> {});
        look(exchange);
    }

    private static void look(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(channel -> closeAtEnd(channel, connection));
            source.resumeReads();
        }
    }

    private static void closeAtEnd(ConduitStreamSourceChannel source, HttpServerConnection connection) {
        try {
            if (source.read(ByteBuffer.allocate(1)) < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * The requests that are held without an answer.
     *
     * @return their number
     */
    public int hanging() {
        return hanging.get();
    }

    private void good(HttpServerExchange exchange, boolean cut) {
        exchange.getResponseHeaders().put(SIGNATURE, id);
        boolean stream = exchange.getRequestHeaders().contains("Model");
        if (!stream) {
            exchange.setResponseContentLength(cut ? 100 : 5);
            exchange.getResponseSender().send(ByteBuffer.wrap("whole".getBytes(StandardCharsets.UTF_8)), ending(cut));
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        StringBuilder text = new StringBuilder();
        int until = cut ? from : events;
        for (int i = from; i <= until; i++) {
            text.append("id: ").append(i).append("\ndata: from ").append(id).append("\n\n");
        }
        if (cut) {
            text.append("id: ").append(until + 1).append("\nda");
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes), ending(cut));
    }

    private static IoCallback ending(boolean cut) {
        if (!cut) {
            return IoCallback.END_EXCHANGE;
        }
        return new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange exchange, Sender sender) {
                IoUtils.safeClose(exchange.getConnection());
            }

            @Override
            public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
                IoUtils.safeClose(exchange.getConnection());
            }
        };
    }
}
