package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.xnio.XnioWorker;

/**
 * HTTP listeners of endpoint stand-ins on a shared worker. The worker outlives each listener, so that an endpoint can
 * be stopped from within a request it is handling.
 */
final class EndpointListeners implements AutoCloseable {

    private static final int THREADS = 2;

    private final Map<String, HttpListener> listeners = new ConcurrentHashMap<>();
    private final AtomicInteger stoppedCount = new AtomicInteger();
    private final XnioWorker worker;

    EndpointListeners() {
        try {
            worker = HttpClient.worker("endpoints", THREADS);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start the worker of the endpoints", e);
        }
    }

    /** Starts a listener for an endpoint and returns its address. */
    String start(String id, HttpHandler handler) {
        String address = Ports.freeAddress();
        try {
            listeners.put(id, HttpListener.startOnWorker(address, HttpListener.Limits.defaults(), worker, handler));
            return address;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen for an endpoint on " + address, e);
        }
    }

    /** Stops an endpoint by closing its port and connections. Returns false if it was already stopped. */
    boolean stop(String id) {
        Optional<HttpListener> listener = Optional.ofNullable(listeners.remove(id));
        listener.ifPresent(one -> {
            stoppedCount.incrementAndGet();
            one.close();
        });
        return listener.isPresent();
    }

    /** Returns the number of endpoints stopped so far. */
    int stoppedCount() {
        return stoppedCount.get();
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
