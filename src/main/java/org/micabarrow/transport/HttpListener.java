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

/** An HTTP server on one address, with limits on what clients may use. */
public final class HttpListener implements AutoCloseable {

    /** How long a client may take to send the head of a request, in milliseconds. */
    private static final int PARSE_MILLIS = 10_000;

    /** The size of a buffer in a process with a small heap, in bytes: Undertow's default. */
    private static final int SMALL_BUFFER_BYTES = 1_024;

    /** The size of a buffer in other processes, in bytes: Undertow's default. */
    private static final int BUFFER_BYTES = 16 * 1_024 - 20;

    /**
     * The heap size below which buffers are small, in bytes: Undertow's default. A buffer is held while a request is
     * read, and 10,000 connections that each send part of a request must not exhaust the memory.
     */
    private static final long SMALL_HEAP_BYTES = 128L << 20;

    /** How many buffers the shared pool keeps for reuse: unlimited, which is Undertow's default. */
    private static final int POOLED_BUFFERS = -1;

    /** How many of them each thread caches: Undertow's default. */
    private static final int BUFFERS_PER_THREAD = 4;

    /** How many connections may wait to be accepted: Undertow's default. */
    private static final int BACKLOG = 1_000;

    private final Runnable stop;

    private HttpListener(Runnable stop) {
        this.stop = stop;
    }

    /**
     * The limits of a listener.
     *
     * @param bodyBytes the maximum size of a request body
     * @param headerBytes the maximum size of a request head
     * @param connections the maximum number of open connections
     * @param idleMillis how long a connection may be idle
     */
    public record Limits(long bodyBytes, int headerBytes, int connections, int idleMillis) {

        /**
         * Returns default limits, which suit operators and stand-ins.
         *
         * @return the limits
         */
        public static Limits defaults() {
            return new Limits(64L << 20, 16 * 1024, 10_000, 600_000);
        }
    }

    /**
     * Starts a server.
     *
     * @param address the host and port
     * @param limits its limits
     * @param threads the number of its I/O threads
     * @param tls the context for HTTPS, empty for plain HTTP
     * @param handler handles the requests
     * @return the running server
     */
    public static HttpListener start(
            String address, Limits limits, int threads, Optional<SSLContext> tls, HttpHandler handler) {
        InetSocketAddress socketAddress = Addresses.parse(address);
        Undertow.Builder builder = configure(limits).setIoThreads(threads).setWorkerThreads(threads * 8);
        if (tls.isPresent()) {
            builder.addHttpsListener(socketAddress.getPort(), socketAddress.getHostString(), tls.get());
        } else {
            builder.addHttpListener(socketAddress.getPort(), socketAddress.getHostString());
        }
        Undertow server = builder.setHandler(handler).build();
        server.start();
        return new HttpListener(server::stop);
    }

    /**
     * Starts a server without TLS on the threads of an existing worker. Closing the server closes its connections too.
     *
     * @param address the host and port
     * @param limits its limits
     * @param worker the worker whose threads it uses
     * @param handler handles the requests
     * @return the running server
     * @throws IOException if the address cannot be used
     */
    public static HttpListener startOnWorker(String address, Limits limits, XnioWorker worker, HttpHandler handler)
            throws IOException {
        HttpOpenListener connections = new HttpOpenListener(
                new DefaultByteBufferPool(true, bufferBytes(), POOLED_BUFFERS, BUFFERS_PER_THREAD),
                serverOptions(limits));
        CountedRequests counted = new CountedRequests(connections, handler);
        connections.setRootHandler(counted);
        AcceptingChannel<StreamConnection> accepting = worker.createStreamConnectionServer(
                Addresses.parse(address),
                ChannelListeners.openListenerAdapter(counted),
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, worker.getIoThreadCount())
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .addAll(socketOptions(limits))
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

    private static Undertow.Builder configure(Limits limits) {
        Undertow.Builder builder = Undertow.builder();
        OptionMap server = serverOptions(limits);
        server.forEach(option -> setServerOption(builder, option, server));
        OptionMap socket = socketOptions(limits);
        socket.forEach(option -> setSocketOption(builder, option, socket));
        return builder;
    }

    private static <T> void setServerOption(Undertow.Builder builder, Option<T> option, OptionMap options) {
        builder.setServerOption(option, options.get(option));
    }

    private static <T> void setSocketOption(Undertow.Builder builder, Option<T> option, OptionMap options) {
        builder.setSocketOption(option, options.get(option));
    }

    private static OptionMap serverOptions(Limits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_ENTITY_SIZE, limits.bodyBytes())
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
                .set(UndertowOptions.IDLE_TIMEOUT, limits.idleMillis())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .getMap();
    }

    private static OptionMap socketOptions(Limits limits) {
        return OptionMap.builder()
                .set(Options.CONNECTION_HIGH_WATER, limits.connections())
                .set(Options.CONNECTION_LOW_WATER, limits.connections())
                .set(Options.TCP_NODELAY, true)
                .getMap();
    }

    @Override
    public void close() {
        stop.run();
    }
}
