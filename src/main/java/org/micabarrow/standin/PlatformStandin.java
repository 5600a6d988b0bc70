package org.micabarrow.standin;

import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.protocol.PlatformMessages;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Manifest;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.LinkPacer;

/**
 * Simulated platform. Serves the log under {@code /log}, the instance list under {@code /list}, the store under
 * {@code /store} and the origin under {@code /origin}. Tests control it through {@code /make}, {@code /faults},
 * {@code /instances} and {@code /counts}.
 */
public final class PlatformStandin implements AutoCloseable {

    private static final int THREADS = 8;

    private final LogStandin log = new LogStandin();
    private final WeightsStandin weights = new WeightsStandin();
    private final LinkPacer originLink;
    private final LinkPacer storeLink;
    private final AtomicLong originBytes = new AtomicLong();
    private final AtomicLong storeBytes = new AtomicLong();
    private final AtomicLong appends = new AtomicLong();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicInteger chunksServed = new AtomicInteger();
    private final HttpListener listener;
    private volatile Faults faults = Faults.none();
    private volatile List<Instance> instances = List.of();

    private PlatformStandin(String address, long originBytesPerSecond, long storeBytesPerSecond) {
        originLink = new LinkPacer(originBytesPerSecond, () -> 1);
        storeLink = new LinkPacer(storeBytesPerSecond, () -> 1);
        listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                THREADS,
                Optional.empty(),
                new BlockingHandler(Handlers.path()
                        .addPrefixPath("/log", this::serveLog)
                        .addPrefixPath("/list", this::serveInstances)
                        .addPrefixPath("/store", exchange -> serveWeights(exchange, false))
                        .addPrefixPath("/origin", exchange -> serveWeights(exchange, true))
                        .addExactPath(
                                "/make",
                                exchange -> JsonExchanges.sendJson(
                                        exchange,
                                        weights.generate(
                                                JsonExchanges.readBody(exchange, WeightsStandin.WeightsSpec.class))))
                        .addExactPath("/faults", exchange -> {
                            faults = JsonExchanges.readBody(exchange, Faults.class);
                            JsonExchanges.sendJson(exchange, faults);
                        })
                        .addExactPath("/instances", exchange -> {
                            instances = List.of(JsonExchanges.readBody(exchange, Instance[].class));
                            JsonExchanges.sendJson(exchange, instances);
                        })
                        .addExactPath("/counts", this::serveCounts)));
    }

    /**
     * Starts the stand-in.
     *
     * @param address the host and port
     * @param originBytesPerSecond bandwidth of the origin's link
     * @param storeBytesPerSecond bandwidth of the store
     * @return the running stand-in
     */
    public static PlatformStandin start(String address, long originBytesPerSecond, long storeBytesPerSecond) {
        return new PlatformStandin(address, originBytesPerSecond, storeBytesPerSecond);
    }

    // -- for tests in the same process

    /**
     * Replaces the injected faults.
     *
     * @param newFaults the faults
     */
    public void setFaults(Faults newFaults) {
        faults = newFaults;
    }

    /**
     * Returns the published instances.
     *
     * @return the instances set most recently
     */
    public List<Instance> instances() {
        return instances;
    }

    /**
     * Replaces the published instances.
     *
     * @param newInstances the instances
     */
    public void setInstances(List<Instance> newInstances) {
        instances = List.copyOf(newInstances);
    }

    /**
     * Returns the log stand-in.
     *
     * @return the log
     */
    public LogStandin log() {
        return log;
    }

    /**
     * Returns the weights stand-in.
     *
     * @return the weights
     */
    public WeightsStandin weights() {
        return weights;
    }

    /**
     * Returns the number of chunk bytes served by the origin.
     *
     * @return their number
     */
    public long originBytes() {
        return originBytes.get();
    }

    /**
     * Returns the number of appends to all streams of the log.
     *
     * @return their number
     */
    public long appends() {
        return appends.get();
    }

    // -- request handling

    private void serveLog(HttpServerExchange exchange) throws IOException, InterruptedException {
        Faults activeFaults = faults;
        if (activeFaults.logDown()) {
            JsonExchanges.sendStatus(exchange, 503);
            return;
        }
        String stream = JsonExchanges.pathSegments(exchange)[2];
        if (exchange.getRequestMethod().toString().equals("POST")) {
            append(exchange, activeFaults, stream);
        } else {
            reads.incrementAndGet();
            long wait = Math.min(10_000, JsonExchanges.longParameter(exchange, "wait", 0));
            JsonExchanges.sendJson(exchange, log.read(stream, JsonExchanges.longParameter(exchange, "from", 0), wait));
        }
    }

    private void append(HttpServerExchange exchange, Faults activeFaults, String stream)
            throws IOException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        Thread.sleep(activeFaults.logSlowMillis());
        appends.incrementAndGet();
        long offset = log.append(stream, body);
        if (activeFaults.loseAppendAnswers()) {
            JsonExchanges.sendStatus(exchange, 504);
        } else {
            JsonExchanges.sendJson(exchange, new PlatformMessages.AppendResponse(offset));
        }
    }

    private void serveInstances(HttpServerExchange exchange) {
        if (faults.listDown()) {
            JsonExchanges.sendStatus(exchange, 503);
        } else {
            JsonExchanges.sendJson(exchange, instances);
        }
    }

    /** Serves {@code weights/VERSION/manifest} and {@code weights/VERSION/chunks/INDEX}. */
    private void serveWeights(HttpServerExchange exchange, boolean origin) throws InterruptedException {
        Faults activeFaults = faults;
        if (!origin && activeFaults.storeDown()) {
            JsonExchanges.sendStatus(exchange, 503);
            return;
        }
        String[] path = JsonExchanges.pathSegments(exchange);
        String version = path[2];
        if (path[3].equals("manifest")) {
            Optional<Manifest> manifest = weights.manifest(version);
            manifest.ifPresentOrElse(
                    found -> JsonExchanges.sendJson(exchange, found), () -> JsonExchanges.sendStatus(exchange, 404));
            return;
        }
        Optional<byte[]> chunk = weights.chunk(version, Integer.parseInt(path[4]));
        if (chunk.isEmpty()) {
            JsonExchanges.sendStatus(exchange, 404);
            return;
        }
        if (!origin) {
            Thread.sleep(activeFaults.storeSlowMillis());
        }
        (origin ? originLink : storeLink).acquire(chunk.get().length);
        (origin ? originBytes : storeBytes).addAndGet(chunk.get().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(maybeCorrupt(chunk.get(), activeFaults)));
    }

    private byte[] maybeCorrupt(byte[] chunk, Faults activeFaults) {
        boolean corrupt =
                activeFaults.corruptOneIn() > 0 && chunksServed.incrementAndGet() % activeFaults.corruptOneIn() == 0;
        if (corrupt) {
            chunk[chunk.length / 2] ^= 1;
        }
        return chunk;
    }

    private void serveCounts(HttpServerExchange exchange) {
        JsonExchanges.sendJson(
                exchange,
                Map.of(
                        "originBytes", originBytes.get(),
                        "storeBytes", storeBytes.get(),
                        "appends", appends.get(),
                        "reads", reads.get()));
    }

    @Override
    public void close() {
        listener.close();
    }
}
