package org.micabarrow.transport;

import io.undertow.server.AbstractServerConnection;
import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** Has the connections of a listener counted, and the requests that come on them. */
final class CountedRequests implements ChannelListener<StreamConnection>, HttpHandler {

    private static final int BAD_REQUEST = 400;
    private static final Logger LOG = LoggerFactory.getLogger(CountedRequests.class);

    private final Map<StreamConnection, Counted> open = new ConcurrentHashMap<>();
    private final ConnectionLimit limit;
    private final int unreadMillis;
    private final ChannelListener<StreamConnection> next;
    private final HttpHandler handler;

    /** What is counted of one connection. */
    private record Counted(MessageBytes bytes, ConnectionLimit.Permit permit) {}

    CountedRequests(
            ConnectionLimit limit, int unreadMillis, ChannelListener<StreamConnection> next, HttpHandler handler) {
        this.limit = Objects.requireNonNull(limit, "limit is null");
        this.unreadMillis = unreadMillis;
        this.next = Objects.requireNonNull(next, "next is null");
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    /** Called when a connection is open. */
    @Override
    public void handleEvent(StreamConnection connection) {
        Optional<ConnectionLimit.Permit> permit =
                limit.open(() -> connection.getIoThread().execute(() -> IoUtils.safeClose(connection)));
        if (permit.isEmpty()) {
            LOG.info("event=connection_refused peer={} why=\"all others are in use\"", connection.getPeerAddress());
            IoUtils.safeClose(connection);
            return;
        }
        MessageBytes bytes = CountedSource.countRequests(connection);
        open.put(connection, new Counted(bytes, permit.get()));
        bytes.begin(() -> IoUtils.safeClose(connection));
        next.handleEvent(connection);
        // Added to the listener of the server, which has set its own.
        connection.setCloseListener(this::remove);
    }

    private void remove(StreamConnection connection) {
        Counted counted = open.remove(connection);
        if (counted != null) {
            counted.bytes().end();
            counted.permit().release();
        }
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        StreamConnection connection = ((AbstractServerConnection) exchange.getConnection()).getChannel();
        Counted counted = open.get(connection);
        if (counted != null) {
            MessageBytes bytes = counted.bytes();
            counted.permit().beginRequest();
            bytes.headRead(BodyEnd.isChunked(exchange.getRequestHeaders()));
            if (bytes.refusal().isPresent()) {
                refuse(exchange);
                return;
            }
            exchange.addExchangeCompleteListener((completed, following) -> {
                if (open.containsKey(connection)) {
                    counted.permit().endRequest();
                    bytes.end();
                    bytes.begin(() -> IoUtils.safeClose(connection));
                    countAhead(completed, bytes);
                }
                following.proceed();
            });
        }
        CopiedFirstWrite.of(exchange);
        UnreadTimeout.of(exchange, unreadMillis);
        handler.handleRequest(exchange);
    }

    /** Answers a request whose body is not read on. */
    private static void refuse(HttpServerExchange exchange) {
        Connectors.terminateRequest(exchange);
        exchange.setStatusCode(BAD_REQUEST)
                .setResponseContentLength(0)
                .setPersistent(false)
                .endExchange();
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
