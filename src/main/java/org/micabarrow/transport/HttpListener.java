package org.micabarrow.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.xnio.Options;
import org.xnio.XnioWorker;

/** An HTTP server on one address, with bounds on what it bears. */
public final class HttpListener implements AutoCloseable {

    /** How long a client may take to send the head of a request, in milliseconds; chosen, not measured. */
    private static final int PARSE_MILLIS = 10_000;

    private final Undertow server;

    private HttpListener(Undertow server) {
        this.server = server;
    }

    /**
     * What a listener bears.
     *
     * @param bodyBytes the greatest body
     * @param headerBytes the greatest head
     * @param connections the most connections at once
     * @param idleMillis how long a connection may be silent
     */
    public record Bounds(long bodyBytes, int headerBytes, int connections, int idleMillis) {

        /**
         * Bounds that suit operators and stand-ins.
         *
         * @return the bounds
         */
        public static Bounds usual() {
            return new Bounds(64L << 20, 16 * 1024, 10_000, 600_000);
        }
    }

    /**
     * Starts a server.
     *
     * @param address the host and port
     * @param bounds what it bears
     * @param threads how many threads do its input and output
     * @param tls the context for HTTPS, empty for plain HTTP
     * @param handler answers
     * @return the running server
     */
    public static HttpListener start(
            String address, Bounds bounds, int threads, Optional<SSLContext> tls, HttpHandler handler) {
        InetSocketAddress at = Addresses.parse(address);
        Undertow.Builder builder = bounded(bounds).setIoThreads(threads).setWorkerThreads(threads * 8);
        if (tls.isPresent()) {
            builder.addHttpsListener(at.getPort(), at.getHostString(), tls.get());
        } else {
            builder.addHttpListener(at.getPort(), at.getHostString());
        }
        Undertow server = builder.setHandler(handler).build();
        server.start();
        return new HttpListener(server);
    }

    /**
     * Starts a server on threads that something else owns, without TLS.
     *
     * @param address the host and port
     * @param bounds what it bears
     * @param worker the threads
     * @param handler answers
     * @return the running server
     */
    public static HttpListener on(String address, Bounds bounds, XnioWorker worker, HttpHandler handler) {
        InetSocketAddress at = Addresses.parse(address);
        Undertow server = bounded(bounds)
                .setWorker(worker)
                .addHttpListener(at.getPort(), at.getHostString())
                .setHandler(handler)
                .build();
        server.start();
        return new HttpListener(server);
    }

    private static Undertow.Builder bounded(Bounds bounds) {
        return Undertow.builder()
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, bounds.bodyBytes())
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, bounds.headerBytes())
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, bounds.idleMillis())
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, bounds.idleMillis())
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, bounds.connections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, bounds.connections())
                .setSocketOption(Options.TCP_NODELAY, true);
    }

    @Override
    public void close() {
        server.stop();
    }
}
