package org.micabarrow.transport;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** Has the requests counted that come on a listener's connections. */
final class CountedRequests implements ChannelListener<StreamConnection>, HttpHandler {

    private static final int BAD_REQUEST = 400;

    private final Map<StreamConnection, MessageBytes> open = new ConcurrentHashMap<>();
    private final ChannelListener<StreamConnection> next;
    private final HttpHandler handler;

    CountedRequests(ChannelListener<StreamConnection> next, HttpHandler handler) {
        this.next = Objects.requireNonNull(next, "next is null");
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    /** Called when a connection is open. */
    @Override
    public void handleEvent(StreamConnection connection) {
        MessageBytes bytes = CountedSource.countRequests(connection);
        open.put(connection, bytes);
        bytes.begin(() -> IoUtils.safeClose(connection));
        next.handleEvent(connection);
        // Added to the listener of the server, which has set its own.
        connection.setCloseListener(this::remove);
    }

    private void remove(StreamConnection connection) {
        MessageBytes bytes = open.remove(connection);
        if (bytes != null) {
            bytes.end();
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        StreamConnection connection = ((AbstractServerConnection) exchange.getConnection()).getChannel();
        MessageBytes bytes = open.get(connection);
        if (bytes != null) {
            bytes.headRead(BodyEnd.isChunked(exchange.getRequestHeaders()));
            if (bytes.refusal().isPresent()) {
                refuse(exchange);
                return;
            }
            exchange.addExchangeCompleteListener((completed, following) -> {
                if (open.containsKey(connection)) {
                    bytes.end();
                    bytes.begin(() -> IoUtils.safeClose(connection));
                    countAhead(completed, bytes);
                }
                following.proceed();
            });
        }
        handler.handleRequest(exchange);
    }

    /** Answers a request whose body is not read on. */
    private static void refuse(HttpServerExchange exchange) {
        Connectors.terminateRequest(exchange);
        exchange.setStatusCode(BAD_REQUEST).setPersistent(false).endExchange();
    }

    /** Counts what was read ahead of the next request: its chunks are told apart by what came before them. */
    private static void countAhead(HttpServerExchange completed, MessageBytes bytes) {
        if (completed.getConnection() instanceof HttpServerConnection http && http.getExtraBytes() != null) {
            try {
                bytes.received(http.getExtraBytes().getBuffer().duplicate());
            } catch (IOException e) {
                // Its reason has been logged.
                IoUtils.safeClose(http);
            }
        }
    }
}
