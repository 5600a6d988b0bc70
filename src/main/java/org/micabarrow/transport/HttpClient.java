package org.micabarrow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongPredicate;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.JsonMemory;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests with Undertow's client, and keeps connections open for further requests to the same address.
 *
 * <pre>{@code
 * Result<HttpResponse> response = client.call(HttpCall.get(Fault.Step.INSTANCES, uri), Duration.ofSeconds(2));
 * }</pre>
 */
public final class HttpClient implements AutoCloseable {

    /** The size of a buffer, in bytes: about the default of Undertow's servers. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** How many buffers the shared pool keeps for reuse: 4 MiB in all. */
    private static final int POOLED_BUFFERS = 256;

    /** How many of them each thread caches: the default of Undertow's servers. */
    private static final int BUFFERS_PER_THREAD = 4;

    /** How many idle connections per address a client keeps by default. */
    private static final int DEFAULT_MAX_IDLE = 64;

    private static final OptionMap CONNECTION_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioWorker worker;
    private final boolean ownsWorker;
    private final HttpExchange.Shared shared;

    private HttpClient(XnioWorker worker, boolean ownsWorker, int maxIdle) {
        this.worker = worker;
        this.ownsWorker = ownsWorker;
        this.shared = new HttpExchange.Shared(
                new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, BUFFERS_PER_THREAD),
                new ConnectionPool(maxIdle, MonotonicClock::millis),
                new LongAdder(),
                new LongAdder());
    }

    /**
     * Starts a client with its own threads.
     *
     * @param name the name of its threads
     * @param threads the number of its I/O threads
     * @return the running client
     */
    public static HttpClient start(String name, int threads) {
        try {
            return new HttpClient(worker(name, threads), true, DEFAULT_MAX_IDLE);
        } catch (IOException e) {
            throw new IllegalStateException("cannot start the threads of the HTTP client", e);
        }
    }

    /**
     * Creates a client on the threads of a server, so that exchanges between the two need no locks.
     *
     * @param worker the worker whose threads it uses
     * @param maxIdle how many idle connections per address are kept for later requests; with 0 each request opens its
     *     own
     * @return the client
     */
    public static HttpClient onWorker(XnioWorker worker, int maxIdle) {
        return new HttpClient(Objects.requireNonNull(worker, "worker is null"), false, maxIdle);
    }

    /**
     * Starts a worker with I/O threads.
     *
     * @param name the name of its threads
     * @param threads the number of I/O threads
     * @return the running worker
     * @throws IOException if no selector can be opened
     */
    public static XnioWorker worker(String name, int threads) throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, threads)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
    }

    /**
     * A complete response.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     * @param room claims memory for the body and what it becomes while it is read, in bytes; false if none is left
     */
    public record HttpResponse(int status, HeaderFields headers, byte[] body, LongPredicate room) {

        /** Up to this size, a body is read without a claim, in bytes: a report, or some dozen records. */
        private static final int SMALL_BYTES = 16 * 1024;

        /**
         * Creates a response whose memory is not counted.
         *
         * @param status the HTTP status
         * @param headers the headers
         * @param body the body
         */
        public HttpResponse(int status, HeaderFields headers, byte[] body) {
            this(status, headers, body, bytes -> true);
        }

        /**
         * The body that is about to be read as JSON, of which each byte may become dozens in memory.
         *
         * @return the body
         * @throws IOException if no memory is left for what it becomes
         */
        public byte[] json() throws IOException {
            if (body.length > SMALL_BYTES && !room.test(body.length + JsonMemory.treeBytes(body))) {
                throw new IOException("no memory is left for the JSON of " + body.length + " bytes");
            }
            return body;
        }
    }

    /** Receives a response part by part, on an I/O thread that must not block. */
    public interface Listener {

        /**
         * Called when the connection is open, just before the request is written. The process may have been paused
         * since it decided to send the request, so that decision can be checked again here.
         *
         * @param call the request as it was passed to {@link HttpClient#send}
         * @return the request to write, to the same address; empty to send nothing, after which the listener is not
         *     called again
         */
        default Optional<HttpCall> beforeSend(HttpCall call) {
            return Optional.of(call);
        }

        /**
         * Called when the response has begun.
         *
         * @param status the HTTP status
         * @param headers the headers
         */
        void onHead(int status, HeaderFields headers);

        /**
         * Called when the next part of the body has arrived.
         *
         * @param data the part
         * @param requestMore to be run, on any thread, when the next part may be delivered
         */
        void onData(byte[] data, Runnable requestMore);

        /**
         * Called when the response has ended without an error of the connection.
         *
         * @param end how its end was recognised
         */
        void onComplete(BodyEnd end);

        /**
         * Called when no response arrived, or when it broke off.
         *
         * @param fault the cause
         * @param sent whether any byte of the request may have been sent
         */
        void onFailed(Fault fault, boolean sent);
    }

    /**
     * The bytes of request bodies sent so far.
     *
     * @return their number
     */
    public long sentBytes() {
        return shared.sentBytes().sum();
    }

    /**
     * The bytes of response bodies received so far.
     *
     * @return their number
     */
    public long receivedBytes() {
        return shared.receivedBytes().sum();
    }

    // -- complete responses

    /**
     * Sends a request and waits for the complete response.
     *
     * @param call the request
     * @param timeout the timeout for the complete response
     * @return the response, whatever its status
     */
    public Result<HttpResponse> call(HttpCall call, Duration timeout) {
        return call(call, ResponseTimeouts.total(timeout));
    }

    /**
     * Sends a request and waits for the complete response, for as long as data keeps arriving.
     *
     * @param call the request
     * @param timeouts the timeouts for the response
     * @return the response, whatever its status
     */
    public Result<HttpResponse> call(HttpCall call, ResponseTimeouts timeouts) {
        return callAsync(call).await(timeouts);
    }

    /**
     * Sends a request, waits for the complete response and reads it. As long as it is read, its memory is counted.
     *
     * @param call the request
     * @param timeouts the timeouts for the response
     * @param reader reads the response, whatever its status
     * @param <T> the type of what is read
     * @return what was read
     */
    public <T> Result<T> read(HttpCall call, ResponseTimeouts timeouts, Function<HttpResponse, Result<T>> reader) {
        return callAsync(call).await(timeouts, reader);
    }

    /**
     * Sends a request, waits for the complete response and reads it. As long as it is read, its memory is counted.
     *
     * @param call the request
     * @param timeout the timeout for the complete response
     * @param reader reads the response, whatever its status
     * @param <T> the type of what is read
     * @return what was read
     */
    public <T> Result<T> read(HttpCall call, Duration timeout, Function<HttpResponse, Result<T>> reader) {
        return read(call, ResponseTimeouts.total(timeout), reader);
    }

    /**
     * Sends a request and waits for the complete response, unless the request is no longer due when it is about to be
     * written: the process may have been paused since the caller decided to send it.
     *
     * @param call the request
     * @param timeout the timeout for the complete response
     * @param stillDue whether the request is to be sent; called on an I/O thread and must not block
     * @return the response, whatever its status; a fault for {@link Reason#TOO_LATE} if nothing was sent
     */
    public Result<HttpResponse> call(HttpCall call, Duration timeout, BooleanSupplier stillDue) {
        return callAsync(call, stillDue).await(timeout);
    }

    /**
     * Sends a request whose response is awaited later.
     *
     * @param call the request
     * @return the call in progress
     */
    PendingCall callAsync(HttpCall call) {
        return callAsync(call, () -> true);
    }

    private PendingCall callAsync(HttpCall call, BooleanSupplier stillDue) {
        ResponseCollector collector = new ResponseCollector(call, stillDue);
        Runnable cancel = send(call, collector);
        return new PendingCall(
                call,
                collector,
                () -> {
                    cancel.run();
                    collector.release();
                },
                () -> shared.connections().closeIdle(call.authority()));
    }

    /**
     * A request in progress whose complete response is awaited.
     *
     * @param call the request
     * @param collector collects the response
     * @param cancel cancels the request
     * @param closeIdle closes the idle connections to the same address
     */
    record PendingCall(HttpCall call, ResponseCollector collector, Runnable cancel, Runnable closeIdle) {

        Result<HttpResponse> await(Duration timeout) {
            return await(ResponseTimeouts.total(timeout));
        }

        Result<HttpResponse> await(ResponseTimeouts timeouts) {
            return await(timeouts, Result::success);
        }

        <T> Result<T> await(ResponseTimeouts timeouts, Function<HttpResponse, Result<T>> reader) {
            try {
                return collected(timeouts).flatMap(reader);
            } finally {
                collector.release();
            }
        }

        private Result<HttpResponse> collected(ResponseTimeouts timeouts) {
            long startNanos = System.nanoTime();
            try {
                Result<HttpResponse> result = collector.await(timeouts);
                if (collector.refused()) {
                    cancel.run();
                }
                return result;
            } catch (InterruptedException e) {
                cancel.run();
                Thread.currentThread().interrupt();
                return failed(Reason.CANCELLED, "interrupted");
            } catch (TimeoutException e) {
                cancel.run();
                // Whatever made this connection unresponsive may have affected the idle ones too, and each of them
                // would cost a later request its full timeout.
                closeIdle.run();
                long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                String problem = collector.hasBegun() ? "the answer stopped after " : "no answer within ";
                return failed(Reason.TIMEOUT, problem + waitedMillis + " ms");
            } catch (ExecutionException e) {
                return failed(Reason.UNREACHABLE, String.valueOf(e.getCause()));
            }
        }

        private <T> Result<T> failed(Reason reason, String message) {
            return Result.failure(Fault.of(call.step(), call.peer(), reason, message));
        }
    }

    // -- streamed responses

    /**
     * Sends a request.
     *
     * @param call the request
     * @param listener receives the response
     * @return cancels the request when run
     */
    public Runnable send(HttpCall call, Listener listener) {
        Objects.requireNonNull(call, "call is null");
        HttpExchange exchange = new HttpExchange(call, listener, shared);
        Optional<HttpConnection> idleConnection = shared.connections().acquire(call.authority());
        if (idleConnection.isPresent()) {
            exchange.start(idleConnection.get());
        } else {
            connect(call, exchange);
        }
        return exchange::cancel;
    }

    private void connect(HttpCall call, HttpExchange exchange) {
        URI target = URI.create(call.uri().getScheme() + "://" + call.authority());
        AtomicReference<MessageBytes> bytes = new AtomicReference<>();
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                exchange.start(new HttpConnection(connection, bytes.get()));
                            }

                            @Override
                            public void failed(IOException e) {
                                exchange.fail(Reason.UNREACHABLE, "cannot connect: " + e.getMessage());
                            }
                        },
                        target,
                        new CountedConnections(
                                worker, opened -> bytes.set(CountedSource.countResponses(opened, call.peer()))),
                        shared.buffers(),
                        CONNECTION_OPTIONS);
    }

    @Override
    public void close() {
        shared.connections().close();
        if (ownsWorker) {
            worker.shutdownNow();
        }
    }
}
