package org.micabarrow.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/**
 * The connections of clients, each with the number of its requests that await an answer. Stopping goes in two steps: first
 * each answer asks its client to leave, then connections without a request are closed and no request is taken any more.
 */
public final class ClientConnections {

    private final Map<ServerConnection, Boolean> open = new ConcurrentHashMap<>();
    private volatile boolean leaving;
    private volatile boolean closing;

    /** A request has begun; a connection serves one at a time. */
    void begun(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (open.put(connection, true) == null) {
            connection.addCloseListener(open::remove);
        }
        exchange.addResponseCommitListener(this::askToLeave);
        exchange.addExchangeCompleteListener((same, next) -> {
            open.computeIfPresent(connection, (key, busy) -> false);
            next.proceed();
        });
    }

    /**
     * Asks a client to leave when its answer begins, unless its next request has been read already: with a connection that
     * closes after an answer, what was read beyond is dropped.
     */
    private void askToLeave(HttpServerExchange exchange) {
        if (leaving && !hasReadOn(exchange.getConnection())) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    private static boolean hasReadOn(ServerConnection connection) {
        return connection instanceof HttpServerConnection read && read.getExtraBytes() != null;
    }

    /** Asks clients to leave from now on: a connection is closed after the answer that is under way on it. */
    public void leave() {
        leaving = true;
    }

    /** Closes connections without a request, and takes no request from now on. */
    public void closeIdle() {
        closing = true;
        open.forEach((connection, busy) -> {
            if (!busy) {
                connection.getIoThread().execute(() -> closeIfIdle(connection));
            }
        });
    }

    private void closeIfIdle(ServerConnection connection) {
        if (Boolean.FALSE.equals(open.get(connection)) && !hasReadOn(connection)) {
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Whether no request is taken any more.
     *
     * @return true after {@link #closeIdle}
     */
    boolean closing() {
        return closing;
    }

    /**
     * The requests that await an answer.
     *
     * @return their number
     */
    public int busy() {
        return (int) open.values().stream().filter(busy -> busy).count();
    }
}
