package org.micabarrow.platform.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** Keeps requests open without answering them. */
final class UnansweredRequests {

    private final AtomicInteger count = new AtomicInteger();

    /** Returns the number of open requests. */
    int count() {
        return count.get();
    }

    /**
     * Keeps a request open until its client closes the connection, which is detected by reading from the connection.
     */
    void hold(HttpServerExchange exchange) {
        count.incrementAndGet();
        exchange.getConnection().addCloseListener(closed -> count.decrementAndGet());
        exchange.dispatch(() -> {});
        watchForClose(exchange);
    }

    private static void watchForClose(HttpServerExchange exchange) {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(channel -> closeAtEndOfStream(channel, connection));
            source.resumeReads();
        }
    }

    private static void closeAtEndOfStream(ConduitStreamSourceChannel source, HttpServerConnection connection) {
        try {
            if (source.read(ByteBuffer.allocate(1)) < 0) {
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
