package org.micabarrow.transport;

import com.codahale.metrics.MetricRegistry;
import io.undertow.io.IoCallback;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.BitSet;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.views.Topic;
import org.micabarrow.views.ViewMaintainer;
import org.micabarrow.weights.ChunkSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers other processes: records of the store, chunks of weights, and figures. */
public final class HostedPeerServer implements HttpHandler {

    private static final Logger LOG = LoggerFactory.getLogger(HostedPeerServer.class);

    /** How long a request is held for a chunk that is still on its way, in milliseconds: a few chunks' time on a link. */
    private static final long HELD_MILLIS = 500;

    /** How often a held request is looked at, in milliseconds: small beside the 50 ms that a chunk takes on a link. */
    private static final long LOOK_MILLIS = 15;

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final ViewMaintainer views;
    private final Sets sets;
    private final MetricRegistry registry;
    private final LinkPacer uplink;
    private final LongSupplier steadyMillis;

    /** Finds the chunks that an agent has. */
    public interface Sets {

        /**
         * The chunks of a version.
         *
         * @param model the model
         * @param version the version
         * @return the set, empty if there is none
         */
        Optional<ChunkSet> set(String model, long version);
    }

    /**
     * Makes a server's handler.
     *
     * @param views what is known of the store
     * @param sets the chunks at hand
     * @param registry the figures
     * @param uplink holds chunks to what the instance's link can spare
     */
    public HostedPeerServer(ViewMaintainer views, Sets sets, MetricRegistry registry, LinkPacer uplink) {
        this(views, sets, registry, uplink, MonotonicClock::millis);
    }

    /**
     * Makes a server's handler that has a clock of its own.
     *
     * @param views what is known of the store
     * @param sets the chunks at hand
     * @param registry the figures
     * @param uplink holds chunks to what the instance's link can spare
     * @param steadyMillis the clock of the views, in milliseconds
     */
    HostedPeerServer(
            ViewMaintainer views, Sets sets, MetricRegistry registry, LinkPacer uplink, LongSupplier steadyMillis) {
        this.views = Objects.requireNonNull(views, "views is null");
        this.sets = Objects.requireNonNull(sets, "sets is null");
        this.registry = Objects.requireNonNull(registry, "registry is null");
        this.uplink = Objects.requireNonNull(uplink, "uplink is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        try {
            if (path.equals(PeerRecordClient.PATH)) {
                records(exchange);
            } else if (path.startsWith(PeerChunkClient.CHUNKS)) {
                chunk(exchange, path.substring(PeerChunkClient.CHUNKS.length()).split("/"));
            } else if (path.startsWith(PeerChunkClient.DIGESTS)) {
                digests(exchange, path.substring(PeerChunkClient.DIGESTS.length()).split("/"));
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

    private static void send(HttpServerExchange exchange, byte[] body) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
    }

    private static void fail(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    // -- records

    private void records(HttpServerExchange exchange) {
        Topic topic = Topic.valueOf(parameter(exchange, "topic"));
        long from = Long.parseLong(parameter(exchange, "from"));
        send(exchange, PeerRecordClient.write(views.since(topic, from), steadyMillis.getAsLong()));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            throw new IllegalArgumentException("parameter " + name + " is missing");
        }
        return values.getFirst();
    }

    // -- chunks

    private void digests(HttpServerExchange exchange, String[] parts) {
        Optional<ChunkSet> set = sets.set(parts[0], Long.parseLong(parts[1]));
        if (set.isEmpty()) {
            fail(exchange, NOT_FOUND);
        } else {
            send(exchange, CanonicalJson.write(set.get().digests()));
        }
    }

    private void chunk(HttpServerExchange exchange, String[] parts) {
        Asked asked = new Asked(parts[0], Long.parseLong(parts[1]), PeerChunkClient.read(parts[2]));
        // Whoever asks for a version has heard that it is wanted; this agent may not have.
        views.want(asked.model(), asked.version());
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_MILLIS);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> look(exchange, asked, until));
    }

    private record Asked(String model, long version, BitSet indexes) {}

    private void look(HttpServerExchange exchange, Asked asked, long until) {
        Optional<ChunkSet> set = sets.set(asked.model(), asked.version());
        OptionalInt index = set.isEmpty() ? OptionalInt.empty() : set.get().pickLeastServed(asked.indexes());
        if (index.isPresent()) {
            give(exchange, index.getAsInt(), set.get().chunk(index.getAsInt()).orElseThrow());
        } else if (System.nanoTime() - until > 0) {
            fail(exchange, set.isPresent() ? PeerChunkClient.FETCHING : NOT_FOUND);
        } else {
            exchange.getIoThread().executeAfter(() -> look(exchange, asked, until), LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void give(HttpServerExchange exchange, int index, byte[] bytes) {
        exchange.getResponseHeaders().put(new HttpString(PeerChunkClient.INDEX), index);
        PacedBody.send(exchange, bytes, uplink.book(bytes.length));
    }
}
