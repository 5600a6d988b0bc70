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

/** Where stand-ins of endpoints listen, on threads that outlive each, so that one can end while it handles a request. */
final class EndpointHosts implements AutoCloseable {

    private static final int THREADS = 2;

    private final Map<String, HttpListener> listeners = new ConcurrentHashMap<>();
    private final AtomicInteger ended = new AtomicInteger();
    private final XnioWorker threads;

    EndpointHosts() {
        try {
            threads = HttpClient.worker("endpoints", THREADS);
        } catch (IOException e) {
            throw new UncheckedIOException("no threads for endpoints", e);
        }
    }

    /** Begins to listen for an endpoint, and tells at which address. */
    String serve(String id, HttpHandler handler) {
        String address = Ports.freeAddress();
        try {
            listeners.put(id, HttpListener.startOnWorker(address, HttpListener.Limits.defaults(), threads, handler));
            return address;
        } catch (IOException e) {
            throw new UncheckedIOException("no endpoint at " + address, e);
        }
    }

    /** Ends an endpoint: its port is dead, and its connections end. False if it had ended before. */
    boolean end(String id) {
        Optional<HttpListener> listener = Optional.ofNullable(listeners.remove(id));
        listener.ifPresent(one -> {
            ended.incrementAndGet();
            one.close();
        });
        return listener.isPresent();
    }

    /** How many endpoints have ended so. */
    int ended() {
        return ended.get();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
