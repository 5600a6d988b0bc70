package org.micabarrow.transport;

import com.codahale.metrics.MetricRegistry;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.transport.HeldChunkRequests.ChunkRequest;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** Serves records of the store, chunks of weights, and metrics to other processes. */
public final class HostedPeerServer implements HttpHandler {

    private static final Logger LOG = LoggerFactory.getLogger(HostedPeerServer.class);

    /**
     * How long a request waits for a chunk that is still being fetched if it does not state a time, in milliseconds:
     * builds whose requests state none wait for a response for 1.5 s.
     */
    private static final long DEFAULT_HOLD_MILLIS = 500;

    /** The longest time for which a request may be held, in milliseconds: clients need to notice a silent agent. */
    private static final long MAX_HOLD_MILLIS = 5_000;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    /** The part of the heap, as a divisor, for answers that are made for one request and not taken yet. */
    private static final long ANSWERS_HEAP_DIVISOR = 8;

    /** What the records and digests hold that were made for one request. */
    private static final HeldBytes ANSWERS = new HeldBytes(Runtime.getRuntime().maxMemory() / ANSWERS_HEAP_DIVISOR);

    private final ViewMaintainer views;
    private final ChunkSets chunkSets;
    private final MetricRegistry registry;
    private final LinkPacer uplink;
    private final LongSupplier monotonicMillis;
    private final Map<XnioIoThread, HeldChunkRequests> heldRequests = new ConcurrentHashMap<>();

    /** Finds the chunks that an agent holds. */
    public interface ChunkSets {

        /**
         * The chunks of a version.
         *
         * @param model the model
         * @param version the version
         * @return the set, empty if there is none
         */
        Optional<ChunkSet> find(String model, long version);
    }

    /**
     * Creates a handler.
     *
     * @param views the local view of the store
     * @param chunkSets finds the chunks held here
     * @param registry the metrics
     * @param uplink limits chunks to the bandwidth that the instance's link can spare
     */
    public HostedPeerServer(ViewMaintainer views, ChunkSets chunkSets, MetricRegistry registry, LinkPacer uplink) {
        this(views, chunkSets, registry, uplink, MonotonicClock::millis);
    }

    /**
     * Creates a handler with a given clock.
     *
     * @param views the local view of the store
     * @param chunkSets finds the chunks held here
     * @param registry the metrics
     * @param uplink limits chunks to the bandwidth that the instance's link can spare
     * @param monotonicMillis the clock of the views, in milliseconds
     */
    HostedPeerServer(
            ViewMaintainer views,
            ChunkSets chunkSets,
            MetricRegistry registry,
            LinkPacer uplink,
            LongSupplier monotonicMillis) {
        this.views = Objects.requireNonNull(views, "views is null");
        this.chunkSets = Objects.requireNonNull(chunkSets, "chunkSets is null");
        this.registry = Objects.requireNonNull(registry, "registry is null");
        this.uplink = Objects.requireNonNull(uplink, "uplink is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        try {
            if (path.equals(PeerRecordClient.PATH)) {
                handleRecords(exchange);
            } else if (path.startsWith(PeerChunkClient.CHUNKS)) {
                handleChunk(
                        exchange,
                        path.substring(PeerChunkClient.CHUNKS.length()).split("/"));
            } else if (path.startsWith(PeerChunkClient.DIGESTS)) {
                handleDigests(
                        exchange,
                        path.substring(PeerChunkClient.DIGESTS.length()).split("/"));
            } else if (path.equals("/metrics")) {
                send(exchange, Metrics.snapshot(registry));
            } else {
                fail(exchange, NOT_FOUND);
            }
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            LOG.warn("event=peer_request_refused path={} why=\"{}\"", path, e.toString());
            fail(exchange, BAD_REQUEST);
        }
    }

    /**
     * Makes an answer and sends it, unless others that their clients have not taken hold too much: half of what may be held keeps a
     * further one from being made, the whole from being sent. A single one is always sent.
     */
    private static void sendBounded(HttpServerExchange exchange, Supplier<byte[]> answer) {
        long heldBytes = ANSWERS.bytes();
        if (heldBytes > ANSWERS.limitBytes() / 2) {
            withhold(exchange);
            return;
        }
        byte[] body = answer.get();
        if (heldBytes > 0 && heldBytes + body.length > ANSWERS.limitBytes()) {
            withhold(exchange);
            return;
        }
        HeldBytes.Hold held = ANSWERS.holdBody();
        held.set(body.length);
        ExchangeEnd.add(exchange, held::release);
        send(exchange, body);
    }

    private static void send(HttpServerExchange exchange, byte[] body) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
    }

    private static void withhold(HttpServerExchange exchange) {
        LOG.warn("event=peer_answer_withheld path={} heldBytes={}", exchange.getRequestPath(), ANSWERS.bytes());
        fail(exchange, UNAVAILABLE);
    }

    private static void fail(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    // -- records

    private void handleRecords(HttpServerExchange exchange) {
        Topic topic = Topic.valueOf(parameter(exchange, "topic"));
        long from = EraOffset.of(era(exchange, topic), Long.parseLong(parameter(exchange, "from")));
        sendBounded(exchange, () -> PeerRecordClient.write(views.since(topic, from), monotonicMillis.getAsLong()));
    }

    /** The era of the requested offset; a build that knows none sends offsets of the era that it shares with others. */
    private long era(HttpServerExchange exchange, Topic topic) {
        return exchange.getQueryParameters().containsKey(PeerRecordClient.ERA)
                ? Long.parseLong(parameter(exchange, PeerRecordClient.ERA))
                : EraOffset.era(views.end(topic));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            throw new IllegalArgumentException("parameter " + name + " is missing");
        }
        return values.getFirst();
    }

    // -- chunks

    private void handleDigests(HttpServerExchange exchange, String[] parts) {
        Optional<ChunkSet> set = chunkSets.find(parts[0], Long.parseLong(parts[1]));
        if (set.isEmpty()) {
            fail(exchange, NOT_FOUND);
        } else {
            sendBounded(exchange, () -> CanonicalJson.write(set.get().digests()));
        }
    }

    private void handleChunk(HttpServerExchange exchange, String[] parts) {
        ChunkRequest request =
                new ChunkRequest(parts[0], Long.parseLong(parts[1]), PeerChunkClient.parseChunks(parts[2]));
        // A request for a version shows that it is wanted, which this agent may not know yet.
        views.addPeerTarget(request.model(), request.version());
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(holdMillis(exchange));
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> sendWhenAvailable(exchange, request, deadlineNanos));
    }

    private static long holdMillis(HttpServerExchange exchange) {
        Deque<String> stated = exchange.getQueryParameters().get(PeerChunkClient.HOLD);
        return stated == null ? DEFAULT_HOLD_MILLIS : Math.clamp(Long.parseLong(stated.getFirst()), 0, MAX_HOLD_MILLIS);
    }

    private void sendWhenAvailable(HttpServerExchange exchange, ChunkRequest request, long deadlineNanos) {
        heldRequests
                .computeIfAbsent(exchange.getIoThread(), thread -> new HeldChunkRequests(thread, chunkSets))
                .add(request, deadlineNanos, new HeldChunkRequests.Callback() {
                    @Override
                    public void onChunk(int index, byte[] bytes) {
                        sendChunk(exchange, index, bytes);
                    }

                    @Override
                    public void onTimeout(boolean known) {
                        fail(exchange, known ? PeerChunkClient.FETCHING : NOT_FOUND);
                    }
                });
    }

    private void sendChunk(HttpServerExchange exchange, int index, byte[] bytes) {
        exchange.getResponseHeaders().put(new HttpString(PeerChunkClient.INDEX), index);
        PacedBody.send(exchange, bytes, uplink.reserve(bytes.length));
    }
}
