package org.micabarrow.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * The connections of clients, each with a flag whether it has a request in flight. The entry shuts down in two steps:
 * first, each response asks its client to close the connection; later, idle connections are closed and new requests are
 * refused.
 */
public final class ClientConnections {

    /**
     * How long an I/O thread goes on before it closes all connections, in milliseconds: requests on connections that have
     * brought none before are read meanwhile.
     */
    private static final long READ_MILLIS = 5;

    private final Map<ServerConnection, Boolean> open = new ConcurrentHashMap<>();
    private volatile boolean draining;
    private volatile boolean closing;

    /** Records that a request has arrived; a connection serves one request at a time. */
    void requestStarted(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (open.put(connection, true) == null) {
            connection.addCloseListener(open::remove);
        }
        exchange.addResponseCommitListener(this::closeWhenDraining);
        exchange.addExchangeCompleteListener((same, next) -> {
            open.computeIfPresent(connection, (key, busy) -> false);
            next.proceed();
        });
    }

    /**
     * Adds {@code Connection: close} to a response while draining, unless the client's next request has been read
     * already: it would be lost when the connection closes.
     */
    private void closeWhenDraining(HttpServerExchange exchange) {
        if (draining && !hasBufferedRequest(exchange.getConnection())) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    private static boolean hasBufferedRequest(ServerConnection connection) {
        return connection instanceof HttpServerConnection http && http.getExtraBytes() != null;
    }

    /** Starts draining: each connection is closed after its next response. */
    public void startDraining() {
        draining = true;
    }

    /** Closes idle connections and refuses new requests from now on. */
    public void closeIdle() {
        closing = true;
        open.forEach((connection, busy) -> {
            if (!busy) {
                connection.getIoThread().execute(() -> closeAfterReading(connection));
            }
        });
    }

    private void closeIfIdle(ServerConnection connection) {
        if (Boolean.FALSE.equals(open.get(connection)) && !hasBufferedRequest(connection)) {
            IoUtils.safeClose(connection);
        }
    }

    private void closeAfterReading(ServerConnection connection) {
        read(connection);
        connection.getIoThread().execute(() -> closeIfIdle(connection));
    }

    /**
     * Has an idle connection read before any step that is given to its thread afterwards: the thread runs all such steps
     * before it looks for what has arrived.
     */
    private void read(ServerConnection connection) {
        if (Boolean.FALSE.equals(open.get(connection)) && connection instanceof HttpServerConnection http) {
            http.getChannel().getSourceChannel().wakeupReads();
        }
    }

    /**
     * Runs a step once no request is in flight, none has arrived in the meantime and none has been read ahead.
     *
     * @param thread the I/O thread of all connections
     * @param whenIdle runs on that thread if so
     * @param otherwise runs on that thread if not
     */
    public void ifIdle(XnioIoThread thread, Runnable whenIdle, Runnable otherwise) {
        thread.execute(() -> {
            if (isIdle()) {
                open.keySet().forEach(this::read);
                thread.executeAfter(() -> (isIdle() ? whenIdle : otherwise).run(), READ_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                otherwise.run();
            }
        });
    }

    private boolean isIdle() {
        return inFlightCount() == 0 && open.keySet().stream().noneMatch(ClientConnections::hasBufferedRequest);
    }

    /**
     * Whether new requests are refused.
     *
     * @return true after {@link #closeIdle}
     */
    boolean closing() {
        return closing;
    }

    /**
     * The number of requests in flight.
     *
     * @return the number of connections with a request that awaits a response
     */
    public int inFlightCount() {
        return (int) open.values().stream().filter(busy -> busy).count();
    }
}
