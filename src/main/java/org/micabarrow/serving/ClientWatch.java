package org.micabarrow.serving;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a client has closed its connection while its answer is awaited. The server itself does not read a
 * connection whose request is being answered, so a close would show only when the answer is written.
 */
final class ClientWatch {

    private static final Logger LOG = LoggerFactory.getLogger(ClientWatch.class);

    private final HttpServerConnection connection;
    private final Runnable gone;

    private ClientWatch(HttpServerConnection connection, Runnable gone) {
        this.connection = connection;
        this.gone = gone;
    }

    /**
     * Watches an exchange whose request has been received whole.
     *
     * @param exchange the exchange
     * @param gone run once if the client goes
     */
    static void start(HttpServerExchange exchange, Runnable gone) {
        exchange.getConnection().addCloseListener(closed -> gone.run());
        if (exchange.getConnection() instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            ClientWatch watch = new ClientWatch(connection, gone);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            // The request has been read whole, so what is left of its own conduit is an end that always shows.
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(watch::readable);
            source.resumeReads();
        }
    }

    private void readable(ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean keep = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count < 0) {
                source.suspendReads();
                gone.run();
            } else if (count > 0) {
                // The client has sent its next request already: it is kept for when this one is answered.
                source.suspendReads();
                pooled.getBuffer().flip();
                connection.ungetRequestBytes(pooled);
                keep = true;
            }
        } catch (IOException e) {
            LOG.debug("event=client_reset why=\"{}\"", e.getMessage());
            source.suspendReads();
            gone.run();
        } finally {
            if (!keep) {
                pooled.close();
            }
        }
    }
}
