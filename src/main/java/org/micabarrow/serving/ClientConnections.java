package org.micabarrow.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
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
        if (leaving) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
        exchange.addExchangeCompleteListener((same, next) -> {
            open.computeIfPresent(connection, (key, busy) -> false);
            next.proceed();
        });
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
        if (Boolean.FALSE.equals(open.get(connection))) {
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
