package org.micabarrow.standin;

import io.undertow.Handlers;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.state.Digest;
import org.micabarrow.transport.HttpListener;

/** A plain service that counts how often each body has been run, as a billing service would charge it. */
public final class ServiceStandin implements AutoCloseable {

    private static final int THREADS = 4;
    private static final int SLOTS = 32;
    private static final long LOOK_MILLIS = 20;

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private volatile long millis;
    private final HttpListener listener;

    private ServiceStandin(String address, long millis) {
        this.millis = millis;
        this.listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                THREADS,
                Optional.empty(),
                new BlockingHandler(Handlers.path(this::run)
                        .addExactPath(
                                "/report",
                                exchange ->
                                        Replies.json(exchange, new Endpoint.Report(List.of(), running.get(), 0, SLOTS)))
                        .addExactPath("/runs", exchange -> Replies.json(exchange, runs))));
    }

    /**
     * Starts a service.
     *
     * @param address the host and port
     * @param millis how long each call takes
     * @return the running service
     */
    public static ServiceStandin start(String address, long millis) {
        return new ServiceStandin(address, millis);
    }

    /**
     * How often each body has been run.
     *
     * @return the counts by the body's digest
     */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    /**
     * Makes calls take another time from now on.
     *
     * @param callMillis how long each call takes
     */
    public void slow(long callMillis) {
        millis = callMillis;
    }

    private void run(HttpServerExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        running.incrementAndGet();
        try {
            int count = runs.merge(Digest.of(body), 1, Integer::sum);
            waitForAsLongAsCallsTake();
            Replies.json(exchange, Map.of("done", Digest.of(body), "count", count));
        } finally {
            running.decrementAndGet();
        }
    }

    /** Looks at the time again and again, so that a slow call ends when calls are made quick again. */
    private void waitForAsLongAsCallsTake() throws InterruptedException {
        long start = System.currentTimeMillis();
        while (System.currentTimeMillis() - start < millis) {
            Thread.sleep(Math.min(millis, LOOK_MILLIS));
        }
    }

    @Override
    public void close() {
        millis = 0;
        listener.close();
    }
}
