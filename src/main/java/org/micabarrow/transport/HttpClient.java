package org.micabarrow.transport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests by Undertow's client, and keeps connections for the next request to the same place.
 *
 * <pre>{@code
 * Result<HttpAnswer> answer = caller.call(HttpCall.get(Fault.Step.INSTANCES, uri), Duration.ofSeconds(2));
 * }</pre>
 */
public final class HttpClient implements AutoCloseable {

    /** The size of a buffer, in bytes: about what Undertow's servers take by default. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** How many buffers all threads together keep for later use: 4 MiB. */
    private static final int BUFFERS_KEPT = 256;

    /** How many of them a thread keeps for itself: as in Undertow's servers by default. */
    private static final int BUFFERS_KEPT_BY_THREAD = 4;

    /** How many connections to one place are kept by a caller that is told no number. */
    private static final int MOST_IDLE = 64;

    private final XnioWorker worker;
    private final boolean ownWorker;
    private final HttpExchange.Shared shared;

    private HttpClient(XnioWorker worker, boolean ownWorker, int mostIdle) {
        this.worker = worker;
        this.ownWorker = ownWorker;
        this.shared = new HttpExchange.Shared(
                new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS_KEPT, BUFFERS_KEPT_BY_THREAD),
                new KeptConnections(mostIdle, MonotonicClock::millis),
                new LongAdder(),
                new LongAdder());
    }

    /**
     * Starts a caller.
     *
     * @param name the name of its threads
     * @param threads how many threads do its input and output
     * @return the running caller
     */
    public static HttpClient start(String name, int threads) {
        try {
            return new HttpClient(worker(name, threads), true, MOST_IDLE);
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
    public static HttpClient on(XnioWorker worker, int mostIdle) {
        return new HttpClient(Objects.requireNonNull(worker, "worker is null"), false, mostIdle);
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

        /**
         * The connection is up and the request is about to leave. Between this and the decision to send it the process may
         * have stood still, so this is the moment to look at the decision again.
         *
         * @param call the request as it was handed over
         * @return the request as it is to be written now, to the same place; empty to send nothing, after which nothing is told
         */
        default Optional<HttpCall> onSending(HttpCall call) {
            return Optional.of(call);
        }

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
        return shared.sentBytes().sum();
    }

    /**
     * The bytes of bodies received so far.
     *
     * @return their number
     */
    public long receivedBytes() {
        return shared.receivedBytes().sum();
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
        return call(call, ResponseTimeouts.whole(within));
    }

    /**
     * Sends a request and waits for the whole answer, for as long as it keeps coming.
     *
     * @param call the request
     * @param limits how long to wait
     * @return the answer, whatever its status
     */
    public Result<HttpAnswer> call(HttpCall call, ResponseTimeouts limits) {
        return begin(call).await(limits);
    }

    /**
     * Sends a request, to wait for its answer later.
     *
     * @param call the request
     * @return the call in progress
     */
    Pending begin(HttpCall call) {
        WholeAnswer answer = new WholeAnswer();
        Runnable cancel = send(call, answer);
        return new Pending(call, answer, cancel, () -> shared.kept().drop(call.authority()));
    }

    /**
     * A request whose whole answer is waited for.
     *
     * @param call the request
     * @param answer collects the answer
     * @param cancel cancels the request
     * @param dropKept closes the connections that are kept to the same place
     */
    record Pending(HttpCall call, WholeAnswer answer, Runnable cancel, Runnable dropKept) {

        Result<HttpAnswer> await(Duration within) {
            return await(ResponseTimeouts.whole(within));
        }

        Result<HttpAnswer> await(ResponseTimeouts limits) {
            long waitedFrom = System.nanoTime();
            try {
                return answer.await(limits);
            } catch (InterruptedException e) {
                cancel.run();
                Thread.currentThread().interrupt();
                return failed(Reason.CANCELLED, "interrupted");
            } catch (TimeoutException e) {
                cancel.run();
                // What made this connection silent may have made the others so, each for the next request's whole time.
                dropKept.run();
                long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - waitedFrom);
                String what = answer.begun() ? "the answer stopped after " : "no answer within ";
                return failed(Reason.TIMEOUT, what + waited + " ms");
            } catch (ExecutionException e) {
                return failed(Reason.UNREACHABLE, String.valueOf(e.getCause()));
            }
        }

        private <T> Result<T> failed(Reason reason, String message) {
            return Result.failure(Fault.of(call.step(), call.peer(), reason, message));
        }
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
        HttpExchange exchange = new HttpExchange(call, listener, shared);
        Optional<ClientConnection> idle = shared.kept().take(call.authority());
        if (idle.isPresent()) {
            exchange.begin(idle.get());
        } else {
            connect(call, exchange);
        }
        return exchange::cancel;
    }

    private void connect(HttpCall call, HttpExchange exchange) {
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
                        shared.buffers(),
                        OptionMap.create(Options.TCP_NODELAY, true));
    }

    @Override
    public void close() {
        shared.kept().close();
        if (ownWorker) {
            worker.shutdownNow();
        }
    }
}
