package org.micabarrow.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
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
 * Sends HTTP requests to one server on the same instance and blocks the calling thread until the response is complete.
 * Such calls are answered in a millisecond and are made several times a second, most of them by code that is not
 * compiled yet; without a selector and a second thread each takes a fraction of the processor time. Thread-safe.
 */
public final class LocalHttpClient implements HttpCaller, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(LocalHttpClient.class);

    /** How long a connection may be idle and still be reused, in milliseconds: below usual idle timeouts of servers. */
    private static final long MAX_IDLE_MILLIS = 1_000;

    private final InetSocketAddress address;
    private final LongSupplier monotonicMillis;
    private final Deque<IdleConnection> idle = new ConcurrentLinkedDeque<>();
    private volatile boolean closed;

    /** A connection, and when it became idle on the monotonic clock. */
    private record IdleConnection(Socket socket, long idleSinceMillis) {}

    /**
     * Creates a client without connections.
     *
     * @param address the host and port of the server
     */
    public LocalHttpClient(String address) {
        this(address, MonotonicClock::millis);
    }

    /**
     * Creates a client with a given clock.
     *
     * @param address the host and port of the server
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    LocalHttpClient(String address, LongSupplier monotonicMillis) {
        this.address = Addresses.parse(Objects.requireNonNull(address, "address is null"));
        this.monotonicMillis = monotonicMillis;
    }

    @Override
    public Result<HttpResponse> call(HttpCall call, Duration timeout) {
        Objects.requireNonNull(call, "call is null");
        Deadline deadline = new Deadline(System.nanoTime(), timeout);
        try {
            // The server may close a kept connection at any moment, and only such requests may be sent twice.
            Optional<Socket> kept = call.method().equals("POST") ? Optional.empty() : keptConnection();
            return Result.success(
                    kept.isPresent() ? callOnKept(kept.get(), call, deadline) : callOnNew(call, deadline));
        } catch (SocketTimeoutException e) {
            closeIdle();
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
            LOG.debug("event=kept_connection_ended peer={} why=\"{}\"", address, e.toString());
            return callOnNew(call, deadline);
        }
    }

    private HttpResponse callOnNew(HttpCall call, Deadline deadline) throws IOException {
        return exchange(connect(deadline), call, deadline);
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
                idle.addFirst(new IdleConnection(socket, monotonicMillis.getAsLong()));
            } else {
                IoUtils.safeClose(socket);
            }
        }
    }

    private static Result<HttpResponse> failed(HttpCall call, Reason reason, String message) {
        return Result.failure(Fault.of(call.step(), call.peer(), reason, message));
    }

    // -- connections

    private Optional<Socket> keptConnection() {
        long earliestIdleSince = monotonicMillis.getAsLong() - MAX_IDLE_MILLIS;
        for (IdleConnection kept = idle.pollFirst(); kept != null; kept = idle.pollFirst()) {
            if (kept.idleSinceMillis() >= earliestIdleSince) {
                return Optional.of(kept.socket());
            }
            IoUtils.safeClose(kept.socket());
        }
        return Optional.empty();
    }

    private Socket connect(Deadline deadline) throws IOException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, deadline.remainingMillis());
            return socket;
        } catch (IOException e) {
            IoUtils.safeClose(socket);
            throw e;
        }
    }

    private void closeIdle() {
        for (IdleConnection kept = idle.pollFirst(); kept != null; kept = idle.pollFirst()) {
            IoUtils.safeClose(kept.socket());
        }
    }

    /** Closes the idle connections. */
    @Override
    public void close() {
        closed = true;
        closeIdle();
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
