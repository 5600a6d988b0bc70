package org.micabarrow.serving;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a client has closed its connection while it waits for a response. The server does not read from a
 * connection while its request is being served, so it would notice only when it writes the response.
 */
final class ClientDisconnectDetector {

    private static final Logger LOG = LoggerFactory.getLogger(ClientDisconnectDetector.class);

    private final HttpServerConnection connection;
    private final Runnable onDisconnect;

    private ClientDisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Watches the connection of an exchange whose request has been received completely.
     *
     * @param exchange the exchange
     * @param onDisconnect run when the client disconnects
     */
    static void start(HttpServerExchange exchange, Runnable onDisconnect) {
        exchange.getConnection().addCloseListener(closed -> onDisconnect.run());
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ClientDisconnectDetector detector = new ClientDisconnectDetector(connection, onDisconnect);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            // The request has been read completely, so its own conduit would always report the end of the stream.
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(detector::onReadable);
            source.resumeReads();
        }
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            } else if (count > 0) {
                // The client has pipelined its next request: keep it until the current one has been answered.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                retained = true;
            }
        } catch (IOException e) {
            LOG.debug("event=client_reset why=\"{}\"", e.getMessage());
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!retained) {
                pooled.close();
            }
        }
    }
}
