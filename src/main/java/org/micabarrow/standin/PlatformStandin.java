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
 * The platform: log under {@code /log}, list under {@code /list}, store under {@code /store}, origin under
 * {@code /origin}; and for tests {@code /make}, {@code /faults}, {@code /instances} and {@code /counts}.
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
                        .addPrefixPath("/log", this::log)
                        .addPrefixPath("/list", this::list)
                        .addPrefixPath("/store", exchange -> weights(exchange, false))
                        .addPrefixPath("/origin", exchange -> weights(exchange, true))
                        .addExactPath(
                                "/make",
                                exchange -> Replies.json(
                                        exchange, weights.make(Replies.body(exchange, WeightsStandin.Wish.class))))
                        .addExactPath("/faults", exchange -> {
                            faults = Replies.body(exchange, Faults.class);
                            Replies.json(exchange, faults);
                        })
                        .addExactPath("/instances", exchange -> {
                            instances = List.of(Replies.body(exchange, Instance[].class));
                            Replies.json(exchange, instances);
                        })
                        .addExactPath("/counts", this::counts)));
    }

    /**
     * Starts the stand-in.
     *
     * @param address the host and port
     * @param originBytesPerSecond what the origin's link carries
     * @param storeBytesPerSecond what the store gives
     * @return the running stand-in
     */
    public static PlatformStandin start(String address, long originBytesPerSecond, long storeBytesPerSecond) {
        return new PlatformStandin(address, originBytesPerSecond, storeBytesPerSecond);
    }

    // -- for tests in the same process

    /**
     * Sets what goes wrong from now on.
     *
     * @param next the faults
     */
    public void fail(Faults next) {
        faults = next;
    }

    /**
     * The list of instances.
     *
     * @return those that were listed last
     */
    public List<Instance> instances() {
        return instances;
    }

    /**
     * Sets the list of instances.
     *
     * @param listed the instances
     */
    public void list(List<Instance> listed) {
        instances = List.copyOf(listed);
    }

    /**
     * The log.
     *
     * @return the log
     */
    public LogStandin log() {
        return log;
    }

    /**
     * The weights.
     *
     * @return the weights
     */
    public WeightsStandin weights() {
        return weights;
    }

    /**
     * Bytes drawn from the origin.
     *
     * @return their number
     */
    public long originBytes() {
        return originBytes.get();
    }

    /**
     * Appends to the log so far, of all streams.
     *
     * @return their number
     */
    public long appends() {
        return appends.get();
    }

    // -- answering

    private void log(HttpServerExchange exchange) throws IOException, InterruptedException {
        Faults now = faults;
        if (now.logDown()) {
            Replies.status(exchange, 503);
            return;
        }
        String stream = Replies.path(exchange)[2];
        if (exchange.getRequestMethod().toString().equals("POST")) {
            append(exchange, now, stream);
        } else {
            reads.incrementAndGet();
            long wait = Math.min(10_000, Replies.number(exchange, "wait", 0));
            Replies.json(exchange, log.read(stream, Replies.number(exchange, "from", 0), wait));
        }
    }

    private void append(HttpServerExchange exchange, Faults now, String stream)
            throws IOException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        Thread.sleep(now.logSlowMillis());
        appends.incrementAndGet();
        long offset = log.append(stream, body);
        if (now.loseAppendAnswers()) {
            Replies.status(exchange, 504);
        } else {
            Replies.json(exchange, new PlatformMessages.AppendResponse(offset));
        }
    }

    private void list(HttpServerExchange exchange) {
        if (faults.listDown()) {
            Replies.status(exchange, 503);
        } else {
            Replies.json(exchange, instances);
        }
    }

    /** Answers {@code weights/VERSION/manifest} and {@code weights/VERSION/chunks/INDEX}. */
    private void weights(HttpServerExchange exchange, boolean origin) throws InterruptedException {
        Faults now = faults;
        if (!origin && now.storeDown()) {
            Replies.status(exchange, 503);
            return;
        }
        String[] path = Replies.path(exchange);
        String version = path[2];
        if (path[3].equals("manifest")) {
            Optional<Manifest> manifest = weights.manifest(version);
            manifest.ifPresentOrElse(found -> Replies.json(exchange, found), () -> Replies.status(exchange, 404));
            return;
        }
        Optional<byte[]> chunk = weights.chunk(version, Integer.parseInt(path[4]));
        if (chunk.isEmpty()) {
            Replies.status(exchange, 404);
            return;
        }
        if (!origin) {
            Thread.sleep(now.storeSlowMillis());
        }
        (origin ? originLink : storeLink).acquire(chunk.get().length);
        (origin ? originBytes : storeBytes).addAndGet(chunk.get().length);
        exchange.getResponseSender().send(ByteBuffer.wrap(perhapsCorrupted(chunk.get(), now)));
    }

    private byte[] perhapsCorrupted(byte[] chunk, Faults now) {
        boolean corrupt = now.corruptOneIn() > 0 && chunksServed.incrementAndGet() % now.corruptOneIn() == 0;
        if (corrupt) {
            chunk[chunk.length / 2] ^= 1;
        }
        return chunk;
    }

    private void counts(HttpServerExchange exchange) {
        Replies.json(
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
