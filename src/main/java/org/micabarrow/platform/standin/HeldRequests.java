package org.micabarrow.platform.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Requests that are never answered. */
final class HeldRequests {

    private final AtomicInteger count = new AtomicInteger();

    /** The requests that are held. */
    int count() {
        return count.get();
    }

    /** Holds a request until its connection is closed, which shows by an attempt to read on. */
    void hold(HttpServerExchange exchange) {
        count.incrementAndGet();
        exchange.getConnection().addCloseListener(closed -> count.decrementAndGet());
        exchange.dispatch(() -> {});
        look(exchange);
    }

    private static void look(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(channel -> closeAtEnd(channel, connection));
            source.resumeReads();
        }
    }

    private static void closeAtEnd(ConduitStreamSourceChannel source, HttpServerConnection connection) {
        try {
            if (source.read(ByteBuffer.allocate(1)) < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
