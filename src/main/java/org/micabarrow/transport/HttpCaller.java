package org.micabarrow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Sends HTTP requests by Undertow's client, and keeps connections for the next request to the same place.
 *
 * <pre>{@code
 * Result<HttpAnswer> answer = caller.call(HttpCall.get(Fault.Step.INSTANCES, uri), Duration.ofSeconds(2));
 * }</pre>
 */
public final class HttpCaller implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(HttpCaller.class);
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MOST_IDLE = 64;

    private final XnioWorker worker;
    private final boolean ownWorker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, 256, 4);
    private final KeptConnections kept;
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    private HttpCaller(XnioWorker worker, boolean ownWorker, int mostIdle) {
        this.worker = worker;
        this.ownWorker = ownWorker;
        this.kept = new KeptConnections(mostIdle);
    }

    /**
     * Starts a caller.
     *
     * @param name the name of its threads
     * @param threads how many threads do its input and output
     * @return the running caller
     */
    public static HttpCaller start(String name, int threads) {
        try {
            return new HttpCaller(worker(name, threads), true, MOST_IDLE);
        } catch (IOException e) {
            throw new IllegalStateException("no threads for HTTP", e);
        }
    }

    /**
     * Makes a caller that shares the threads of a server, so that an exchange between the two needs no locks.
     *
     * @param worker the threads
     * @param mostIdle how many connections to one place are kept for later requests; 0 opens one for each request
     * @return the caller
     */
    public static HttpCaller on(XnioWorker worker, int mostIdle) {
        return new HttpCaller(Objects.requireNonNull(worker, "worker is null"), false, mostIdle);
    }

    /**
     * Starts threads for input and output.
     *
     * @param name their name
     * @param threads how many
     * @return the running threads
     * @throws IOException if the system grants no selector
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
     * An answer read whole.
     *
     * @param status the HTTP status
     * @param headers the headers, each by its name as sent
     * @param body the body
     */
    public record HttpAnswer(int status, Map<String, String> headers, byte[] body) {}

    /** Receives an answer part by part, on a thread that must not block. */
    public interface Listener {

        /** The connection is up and the request is about to leave. */
        default void onSending() {}

        /**
         * The answer has begun.
         *
         * @param status the HTTP status
         * @param headers the headers, each by its name as sent
         */
        void onHead(int status, Map<String, String> headers);

        /**
         * The next part of the body has arrived.
         *
         * @param data the part
         * @param more to be run when the next may come, on any thread
         */
        void onData(byte[] data, Runnable more);

        /** The answer has ended as it should. */
        void onComplete();

        /**
         * The answer has not come, or has broken off.
         *
         * @param fault why
         * @param sent whether any byte of the request may have left
         */
        void onFailed(Fault fault, boolean sent);
    }

    /**
     * The bytes of bodies sent so far.
     *
     * @return their number
     */
    public long sentBytes() {
        return sentBytes.sum();
    }

    /**
     * The bytes of bodies received so far.
     *
     * @return their number
     */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    // -- whole answers

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param call the request
     * @param within how long to wait
     * @return the answer, whatever its status
     */
    public Result<HttpAnswer> call(HttpCall call, Duration within) {
        return begin(call).await(within);
    }

    /**
     * Sends a request, to wait for its answer later.
     *
     * @param call the request
     * @return the call in progress
     */
    Pending begin(HttpCall call) {
        CompletableFuture<Result<HttpAnswer>> done = new CompletableFuture<>();
        return new Pending(call, done, send(call, new WholeAnswer(done)));
    }

    /** A request whose whole answer is waited for. */
    record Pending(HttpCall call, CompletableFuture<Result<HttpAnswer>> done, Runnable cancel) {

        Result<HttpAnswer> await(Duration within) {
            return awaitAnswer(call, done, cancel, within);
        }
    }

    private static Result<HttpAnswer> awaitAnswer(
            HttpCall call, CompletableFuture<Result<HttpAnswer>> done, Runnable cancel, Duration within) {
        try {
            return done.get(within.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            cancel.run();
            Thread.currentThread().interrupt();
            return failed(call, Reason.CANCELLED, "interrupted");
        } catch (TimeoutException e) {
            cancel.run();
            return failed(call, Reason.TIMEOUT, "no answer within " + within.toMillis() + " ms");
        } catch (ExecutionException e) {
            return failed(call, Reason.UNREACHABLE, String.valueOf(e.getCause()));
        }
    }

    private static <T> Result<T> failed(HttpCall call, Reason reason, String message) {
        return Result.failure(Fault.of(call.step(), call.peer(), reason, message));
    }

    // -- answers part by part

    /**
     * Sends a request.
     *
     * @param call the request
     * @param listener receives the answer
     * @return cancels the request when run
     */
    public Runnable send(HttpCall call, Listener listener) {
        Objects.requireNonNull(call, "call is null");
        Exchange exchange = new Exchange(call, listener);
        Optional<ClientConnection> idle = kept.take(call.authority());
        if (idle.isPresent()) {
            exchange.begin(idle.get());
        } else {
            connect(call, exchange);
        }
        return exchange::cancel;
    }

    private void connect(HttpCall call, Exchange exchange) {
        URI target = URI.create(call.uri().getScheme() + "://" + call.authority());
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                exchange.begin(connection);
                            }

                            @Override
                            public void failed(IOException e) {
                                exchange.fail(Reason.UNREACHABLE, "cannot connect: " + e.getMessage());
                            }
                        },
                        target,
                        worker,
                        buffers,
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** One request and its answer. */
    private final class Exchange {

        private final HttpCall call;
        private final Listener listener;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile ClientConnection connection;
        private volatile boolean sent;
        private volatile boolean cancelled;
        private StreamSourceChannel source;
        private boolean mayRead = true;
        private boolean delivering;

        private Exchange(HttpCall call, Listener listener) {
            this.call = call;
            this.listener = listener;
        }

        // -- request

        private void begin(ClientConnection opened) {
            connection = opened;
            if (cancelled) {
                fail(Reason.CANCELLED, "cancelled");
                return;
            }
            opened.getIoThread().execute(this::sendRequest);
        }

        private void sendRequest() {
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.pathAndQuery());
            request.getRequestHeaders().put(Headers.HOST, call.authority());
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
            call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
            sent = true;
            listener.onSending();
            sentBytes.add(call.body().length);
            try {
                hand(request);
            } catch (RuntimeException e) {
                // Undertow's client throws from a kept connection whose peer reset it just before.
                fail(Reason.UNREACHABLE, "the request was not sent: " + e);
            }
        }

        private void hand(ClientRequest request) {
            connection.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(responseListener());
                    write(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
                }

                @Override
                public void failed(IOException e) {
                    fail(Reason.UNREACHABLE, "the request was not sent: " + e.getMessage());
                }
            });
        }

        private void write(StreamSinkChannel sink, ByteBuffer body) {
            try {
                while (body.hasRemaining()) {
                    if (sink.write(body) == 0) {
                        sink.getWriteSetter().set(channel -> write(sink, body));
                        sink.resumeWrites();
                        return;
                    }
                }
                sink.shutdownWrites();
                if (!sink.flush()) {
                    sink.getWriteSetter()
                            .set(ChannelListeners.flushingChannelListener(
                                    null,
                                    (channel, e) ->
                                            fail(Reason.UNREACHABLE, "the request broke off: " + e.getMessage())));
                    sink.resumeWrites();
                }
            } catch (IOException e) {
                fail(Reason.UNREACHABLE, "the request broke off: " + e.getMessage());
            }
        }

        // -- answer

        private ClientCallback<ClientExchange> responseListener() {
            return new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
                    exchange.getResponse()
                            .getResponseHeaders()
                            .forEach(
                                    values -> headers.put(values.getHeaderName().toString(), values.getFirst()));
                    listener.onHead(exchange.getResponse().getResponseCode(), headers);
                    source = exchange.getResponseChannel();
                    source.getReadSetter().set(channel -> read());
                    read();
                }

                @Override
                public void failed(IOException e) {
                    fail(Reason.UNREACHABLE, "no answer: " + e.getMessage());
                }
            };
        }

        private void read() {
            try (PooledByteBuffer pooled = buffers.allocate()) {
                ByteBuffer buffer = pooled.getBuffer();
                while (mayRead && !ended.get()) {
                    buffer.clear();
                    int count = source.read(buffer);
                    if (count < 0) {
                        complete();
                        return;
                    }
                    if (count == 0) {
                        source.resumeReads();
                        return;
                    }
                    buffer.flip();
                    byte[] data = new byte[buffer.remaining()];
                    buffer.get(data);
                    receivedBytes.add(count);
                    deliver(data);
                }
                source.suspendReads();
            } catch (IOException e) {
                fail(Reason.UNREACHABLE, "the answer broke off: " + e.getMessage());
            }
        }

        /** Hands a part over; reading goes on when the listener asks for more, at once or later. */
        private void deliver(byte[] data) {
            mayRead = false;
            delivering = true;
            listener.onData(data, this::more);
            delivering = false;
        }

        private void more() {
            if (Thread.currentThread() == source.getIoThread() && delivering) {
                mayRead = true;
            } else {
                source.getIoThread().execute(this::readOn);
            }
        }

        private void readOn() {
            mayRead = true;
            read();
        }

        private void complete() {
            if (ended.compareAndSet(false, true)) {
                kept.give(call.authority(), connection);
                listener.onComplete();
            }
        }

        // -- failing

        private void fail(Reason reason, String message) {
            if (ended.compareAndSet(false, true)) {
                abort(connection);
                listener.onFailed(Fault.of(call.step(), call.peer(), reason, message), sent);
            }
        }

        /** Resets the connection, so that a peer that has not read the request yet never will. */
        private static void abort(ClientConnection broken) {
            if (broken == null) {
                return;
            }
            try {
                broken.setOption(Options.CLOSE_ABORT, true);
            } catch (IOException | RuntimeException e) {
                LOG.debug("event=abort_unsupported why=\"{}\"", e.toString());
            }
            IoUtils.safeClose(broken);
        }

        private void cancel() {
            cancelled = true;
            if (connection != null) {
                fail(Reason.CANCELLED, "cancelled");
            }
        }
    }

    @Override
    public void close() {
        kept.close();
        if (ownWorker) {
            worker.shutdownNow();
        }
    }
}
