package org.micabarrow.transport;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.micabarrow.clock.MonotonicClock;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Sends HTTP requests and blocks the calling thread until the response is complete. Where a thread waits for a response
 * anyway, this takes a fraction of the processor time that a selector and a second thread take, above all in code that
 * is called too seldom to be compiled. Thread-safe.
 */
public final class BlockingHttpClient implements HttpCaller, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(BlockingHttpClient.class);

    private final long maxIdleMillis;
    private final LongSupplier monotonicMillis;
    private final Map<String, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** A connection, and when it became idle on the monotonic clock. */
    private record IdleConnection(Socket socket, long idleSinceMillis) {}

    /**
     * Creates a client without connections.
     *
     * @param maxIdleMillis how long a connection may be idle and still be reused, in milliseconds: servers close idle
     *     connections, and one that is open may have become unresponsive without any sign
     */
    public BlockingHttpClient(long maxIdleMillis) {
        this(maxIdleMillis, MonotonicClock::millis);
    }

    /**
     * Creates a client with a given clock.
     *
     * @param maxIdleMillis how long a connection may be idle and still be reused, in milliseconds
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    BlockingHttpClient(long maxIdleMillis, LongSupplier monotonicMillis) {
        this.maxIdleMillis = maxIdleMillis;
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
    }

    @Override
    public Result<HttpResponse> call(HttpCall call, Duration timeout) {
        Objects.requireNonNull(call, "call is null");
        Deadline deadline = new Deadline(System.nanoTime(), timeout);
        try {
            // The server may close a kept connection at any moment, and only such requests may be sent twice.
            Optional<Socket> kept = call.method().equals("POST") ? Optional.empty() : keptConnection(call.authority());
            return Result.success(
                    kept.isPresent() ? callOnKept(kept.get(), call, deadline) : callOnNew(call, deadline));
        } catch (SocketTimeoutException e) {
            closeIdle(call.authority());
            return failed(call, Reason.TIMEOUT, "no complete answer within " + deadline.passedMillis() + " ms");
        } catch (IOException e) {
            return failed(call, Reason.UNREACHABLE, String.valueOf(e));
        }
    }

    private HttpResponse callOnKept(Socket socket, HttpCall call, Deadline deadline) throws IOException {
        try {
            return exchange(socket, call, deadline);
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            LOG.debug("event=kept_connection_ended peer={} why=\"{}\"", call.peer(), e.toString());
            return callOnNew(call, deadline);
        }
    }

    private HttpResponse callOnNew(HttpCall call, Deadline deadline) throws IOException {
        return exchange(connect(call.authority(), deadline), call, deadline);
    }

    private HttpResponse exchange(Socket socket, HttpCall call, Deadline deadline) throws IOException {
        boolean reusable = false;
        try {
            socket.getOutputStream().write(HttpText.request(call));
            HttpText.Response response = HttpText.read(new TimedInput(socket, deadline));
            reusable = response.reusable() && !closed;
            return response.response();
        } finally {
            if (reusable) {
                keep(call.authority(), socket);
            } else {
                IoUtils.safeClose(socket);
            }
        }
    }

    private static Result<HttpResponse> failed(HttpCall call, Reason reason, String message) {
        return Result.failure(Fault.of(call.step(), call.peer(), reason, message));
    }

    // -- connections

    private void keep(String authority, Socket socket) {
        idle.computeIfAbsent(authority, address -> new ConcurrentLinkedDeque<>())
                .addFirst(new IdleConnection(socket, monotonicMillis.getAsLong()));
    }

    private Optional<Socket> keptConnection(String authority) {
        Deque<IdleConnection> connections = idle.getOrDefault(authority, new ConcurrentLinkedDeque<>());
        long earliestIdleSince = monotonicMillis.getAsLong() - maxIdleMillis;
        for (IdleConnection kept = connections.pollFirst(); kept != null; kept = connections.pollFirst()) {
            if (kept.idleSinceMillis() >= earliestIdleSince) {
                return Optional.of(kept.socket());
            }
            IoUtils.safeClose(kept.socket());
        }
        return Optional.empty();
    }

    private static Socket connect(String authority, Deadline deadline) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(Addresses.parse(authority), deadline.remainingMillis());
            return socket;
        } catch (IOException e) {
            IoUtils.safeClose(socket);
            throw e;
        }
    }

    /** Closes all idle connections to an address: what made one unresponsive may have affected the others too. */
    private void closeIdle(String authority) {
        Optional.ofNullable(idle.remove(authority)).ifPresent(connections -> {
            for (IdleConnection kept = connections.pollFirst(); kept != null; kept = connections.pollFirst()) {
                IoUtils.safeClose(kept.socket());
            }
        });
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        closed = true;
        idle.keySet().forEach(this::closeIdle);
    }

    // -- time

    /** The time left until a timeout. */
    private record Deadline(long startNanos, Duration timeout) {

        long passedMillis() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        }

        /** The time left, in milliseconds, at least 1, since 0 would mean no timeout. */
        int remainingMillis() throws SocketTimeoutException {
            long nanos = timeout.toNanos() - (System.nanoTime() - startNanos);
            if (nanos <= 0) {
                throw new SocketTimeoutException("the timeout has passed");
            }
            return Math.clamp(TimeUnit.NANOSECONDS.toMillis(nanos), 1, Integer.MAX_VALUE);
        }
    }

    /** Reads from a connection until a deadline. */
    private record TimedInput(Socket socket, Deadline deadline) implements HttpText.Input {

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            socket.setSoTimeout(deadline.remainingMillis());
            return socket.getInputStream().read(bytes, offset, length);
        }
    }
}
