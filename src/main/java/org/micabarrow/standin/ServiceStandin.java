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

/**
 * Simulated plain service that counts how many times each request body was executed, as a billing service would charge
 * it.
 */
public final class ServiceStandin implements AutoCloseable {

    private static final int THREADS = 4;
    private static final int SLOTS = 32;
    private static final long POLL_MILLIS = 20;

    private final Map<String, Integer> runsByDigest = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private volatile long callMillis;
    private final HttpListener listener;

    private ServiceStandin(String address, long millis) {
        this.callMillis = millis;
        this.listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                THREADS,
                Optional.empty(),
                new BlockingHandler(Handlers.path(this::handleCall)
                        .addExactPath(
                                "/report",
                                exchange -> JsonExchanges.sendJson(
                                        exchange, new Endpoint.Report(List.of(), running.get(), 0, SLOTS)))
                        .addExactPath("/runs", exchange -> JsonExchanges.sendJson(exchange, runsByDigest))));
    }

    /**
     * Starts a service.
     *
     * @param address the host and port
     * @param millis the duration of each call
     * @return the running service
     */
    public static ServiceStandin start(String address, long millis) {
        return new ServiceStandin(address, millis);
    }

    /**
     * Returns how many times each body was executed.
     *
     * @return the counts by the body's digest
     */
    public Map<String, Integer> runsByDigest() {
        return Map.copyOf(runsByDigest);
    }

    /**
     * Sets the duration of calls, including those in progress.
     *
     * @param millis the duration of each call
     */
    public void setCallMillis(long millis) {
        callMillis = millis;
    }

    private void handleCall(HttpServerExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getInputStream().readAllBytes();
        running.incrementAndGet();
        try {
            int count = runsByDigest.merge(Digest.of(body), 1, Integer::sum);
            sleepForCallDuration();
            JsonExchanges.sendJson(exchange, Map.of("done", Digest.of(body), "count", count));
        } finally {
            running.decrementAndGet();
        }
    }

    /** Polls the configured duration, so that slow calls in progress end when the duration is reduced. */
    private void sleepForCallDuration() throws InterruptedException {
        long start = System.currentTimeMillis();
        while (System.currentTimeMillis() - start < callMillis) {
            Thread.sleep(Math.min(callMillis, POLL_MILLIS));
        }
    }

    @Override
    public void close() {
        callMillis = 0;
        listener.close();
    }
}
