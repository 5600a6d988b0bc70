package org.micabarrow.transport;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Option;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** An HTTP server on one address, with bounds on what it bears. */
public final class HttpListener implements AutoCloseable {

    /** How long a client may take to send the head of a request, in milliseconds. */
    private static final int PARSE_MILLIS = 10_000;

    /** The size of a buffer in a process with a small heap, in bytes, as Undertow has it by default. */
    private static final int SMALL_BUFFER_BYTES = 1_024;

    /** The size of a buffer elsewhere, in bytes, as Undertow has it by default. */
    private static final int BUFFER_BYTES = 16 * 1_024 - 20;

    /**
     * The heap below which buffers are small, in bytes, as by default: one is held while a request is read, and 10,000 connections
     * that each send a part of one must not exhaust the memory.
     */
    private static final long SMALL_HEAP_BYTES = 128L << 20;

    /** How many of them are kept for later use: any number, as by default. */
    private static final int BUFFERS_KEPT = -1;

    /** How many of them a thread keeps for itself: as by default. */
    private static final int BUFFERS_KEPT_BY_THREAD = 4;

    /** How many connections may wait to be accepted: as by default. */
    private static final int BACKLOG = 1_000;

    private final Runnable stop;

    private HttpListener(Runnable stop) {
        this.stop = stop;
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
        return new HttpListener(server::stop);
    }

    /**
     * Starts a server on threads that something else owns, without TLS. Closing it closes its connections too.
     *
     * @param address the host and port
     * @param bounds what it bears
     * @param worker the threads
     * @param handler answers
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public static HttpListener on(String address, Bounds bounds, XnioWorker worker, HttpHandler handler)
            throws IOException {
        HttpOpenListener connections = new HttpOpenListener(
                new DefaultByteBufferPool(true, bufferBytes(), BUFFERS_KEPT, BUFFERS_KEPT_BY_THREAD),
                serverOptions(bounds));
        connections.setRootHandler(handler);
        AcceptingChannel<StreamConnection> accepting = worker.createStreamConnectionServer(
                Addresses.parse(address),
                ChannelListeners.openListenerAdapter(connections),
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, worker.getIoThreadCount())
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .addAll(socketOptions(bounds))
                        .getMap());
        accepting.resumeAccepts();
        return new HttpListener(() -> {
            IoUtils.safeClose(accepting);
            connections.closeConnections();
        });
    }

    private static int bufferBytes() {
        return Runtime.getRuntime().maxMemory() < SMALL_HEAP_BYTES ? SMALL_BUFFER_BYTES : BUFFER_BYTES;
    }

    private static Undertow.Builder bounded(Bounds bounds) {
        Undertow.Builder builder = Undertow.builder();
        OptionMap server = serverOptions(bounds);
        server.forEach(option -> setServerOption(builder, option, server));
        OptionMap socket = socketOptions(bounds);
        socket.forEach(option -> setSocketOption(builder, option, socket));
        return builder;
    }

    private static <T> void setServerOption(Undertow.Builder builder, Option<T> option, OptionMap options) {
        builder.setServerOption(option, options.get(option));
    }

    private static <T> void setSocketOption(Undertow.Builder builder, Option<T> option, OptionMap options) {
        builder.setSocketOption(option, options.get(option));
    }

    private static OptionMap serverOptions(Bounds bounds) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_ENTITY_SIZE, bounds.bodyBytes())
                .set(UndertowOptions.MAX_HEADER_SIZE, bounds.headerBytes())
                .set(UndertowOptions.IDLE_TIMEOUT, bounds.idleMillis())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, bounds.idleMillis())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .getMap();
    }

    private static OptionMap socketOptions(Bounds bounds) {
        return OptionMap.builder()
                .set(Options.CONNECTION_HIGH_WATER, bounds.connections())
                .set(Options.CONNECTION_LOW_WATER, bounds.connections())
                .set(Options.TCP_NODELAY, true)
                .getMap();
    }

    @Override
    public void close() {
        stop.run();
    }
}
