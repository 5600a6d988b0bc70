package org.micabarrow.transport;

import io.undertow.UndertowOptions;
import io.undertow.protocols.ssl.UndertowXnioSsl;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import javax.net.ssl.SSLContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
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

    /** How many threads run blocking handlers, as a factor of the I/O threads: Undertow's default. */
    private static final int TASKS_PER_IO_THREAD = 8;

    /** How many connections beyond those of the process are accepted before others have been closed for them. */
    private static final int ACCEPTED_AT_ONCE = 64;

    /**
     * Up to this size the body of a request is read, in bytes, also if its handler refuses it for its length: its client may read the
     * refusal only after it has sent all of it.
     */
    private static final long MIN_READ_BYTES = 64L << 20;

    private static final Logger LOG = LoggerFactory.getLogger(HttpListener.class);

    private final Runnable stop;
    private final AtomicBoolean closed = new AtomicBoolean();

    private HttpListener(Runnable stop) {
        this.stop = stop;
    }

    /**
     * The limits of a listener.
     *
     * @param bodyBytes the maximum size of a request body; handlers that allow less refuse it themselves
     * @param headerBytes the maximum size of a request head
     * @param connections the maximum number of open connections
     * @param idleMillis how long a connection may be idle
     * @param unreadMillis how long a client may take nothing of an answer that waits for it
     */
    public record Limits(long bodyBytes, int headerBytes, int connections, int idleMillis, int unreadMillis) {

        /**
         * Returns default limits, which suit operators and stand-ins.
         *
         * @return the limits
         */
        public static Limits defaults() {
            return new Limits(64L << 20, 16 * 1024, 10_000, 600_000, 10_000);
        }
    }

    /**
     * Starts a server on threads of its own, which keep the process running until the server is closed.
     *
     * @param address the host and port
     * @param limits its limits
     * @param threads the number of its I/O threads
     * @param tls the context for HTTPS, empty for plain HTTP
     * @param handler handles the requests
     * @return the running server
     * @throws UncheckedIOException if the address cannot be used
     */
    public static HttpListener start(
            String address, Limits limits, int threads, Optional<SSLContext> tls, HttpHandler handler) {
        XnioWorker worker = worker(threads);
        try {
            HttpListener listener = open(address, limits, worker, tls, handler);
            return new HttpListener(() -> {
                listener.close();
                stop(worker);
            });
        } catch (IOException e) {
            worker.shutdownNow();
            throw new UncheckedIOException(e);
        }
    }

    private static XnioWorker worker(int threads) {
        try {
            return Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, threads)
                            .set(Options.WORKER_TASK_CORE_THREADS, threads * TASKS_PER_IO_THREAD)
                            .set(Options.WORKER_TASK_MAX_THREADS, threads * TASKS_PER_IO_THREAD)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void stop(XnioWorker worker) {
        worker.shutdown();
        try {
            worker.awaitTermination();
        } catch (InterruptedException e) {
            LOG.debug("event=stop_interrupted what=listener", e);
            worker.shutdownNow();
            Thread.currentThread().interrupt();
        }
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
        return open(address, limits, worker, Optional.empty(), handler);
    }

    private static HttpListener open(
            String address, Limits limits, XnioWorker worker, Optional<SSLContext> tls, HttpHandler handler)
            throws IOException {
        DefaultByteBufferPool buffers =
                new DefaultByteBufferPool(true, bufferBytes(), POOLED_BUFFERS, BUFFERS_PER_THREAD);
        HttpOpenListener connections = new HttpOpenListener(buffers, serverOptions(limits));
        CountedRequests counted =
                new CountedRequests(ConnectionLimit.ofProcess(), limits.unreadMillis(), connections, handler);
        connections.setRootHandler(counted);
        AcceptingChannel<? extends StreamConnection> accepting =
                accept(Addresses.parse(address), worker, tls, counted, socketOptions(limits, worker));
        accepting.resumeAccepts();
        return new HttpListener(() -> {
            IoUtils.safeClose(accepting);
            connections.closeConnections();
        });
    }

    /** With TLS the connections given on are those that decrypt, so what is counted is what requests consist of. */
    private static AcceptingChannel<? extends StreamConnection> accept(
            InetSocketAddress address,
            XnioWorker worker,
            Optional<SSLContext> tls,
            ChannelListener<StreamConnection> opened,
            OptionMap options)
            throws IOException {
        if (tls.isEmpty()) {
            return worker.createStreamConnectionServer(address, ChannelListeners.openListenerAdapter(opened), options);
        }
        return new UndertowXnioSsl(worker.getXnio(), OptionMap.create(Options.USE_DIRECT_BUFFERS, true), tls.get())
                .createSslConnectionServer(worker, address, ChannelListeners.openListenerAdapter(opened), options);
    }

    private static int bufferBytes() {
        return Runtime.getRuntime().maxMemory() < SMALL_HEAP_BYTES ? SMALL_BUFFER_BYTES : BUFFER_BYTES;
    }

    private static OptionMap serverOptions(Limits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.MAX_ENTITY_SIZE, Math.max(MIN_READ_BYTES, limits.bodyBytes()))
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.headerBytes())
                .set(UndertowOptions.IDLE_TIMEOUT, limits.idleMillis())
                .set(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_MILLIS)
                .getMap();
    }

    /** No more are accepted while connections that are too many are still to be closed. */
    private static OptionMap socketOptions(Limits limits, XnioWorker worker) {
        int processConnections = ConnectionLimit.ofProcess().max();
        return OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, worker.getIoThreadCount())
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(
                        Options.CONNECTION_HIGH_WATER,
                        Math.min(limits.connections(), processConnections + ACCEPTED_AT_ONCE))
                .set(
                        Options.CONNECTION_LOW_WATER,
                        Math.min(limits.connections(), processConnections + ACCEPTED_AT_ONCE / 2))
                .set(Options.TCP_NODELAY, true)
                .getMap();
    }

    /** Closes the server; repeated calls have no effect. */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            // A channel whose threads have ended would wait for them for ever when it is closed again.
            stop.run();
        }
    }
}
