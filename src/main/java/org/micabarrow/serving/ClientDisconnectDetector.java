package org.micabarrow.serving;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a client has closed its connection while it waits for a response. The server does not read from a
 * connection while its request is being served, so it would notice only when it writes the response. What the client sends
 * meanwhile are its next requests, which are kept until the current one has been answered, and dropped if the client leaves.
 */
final class ClientDisconnectDetector {

    /**
     * How much is read ahead on one connection, in bytes: some requests with ordinary prompts. Beyond it nothing is read until
     * the current request has been answered, and a disconnect is not detected before.
     */
    static final int MAX_AHEAD_BYTES = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");
    private static final AttachmentKey<Runnable> CURRENT = AttachmentKey.create(Runnable.class);

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final ClientMemory memory;
    private final Runnable onDisconnect;

    private ClientDisconnectDetector(
            HttpServerExchange exchange, HttpServerConnection connection, ClientMemory memory, Runnable onDisconnect) {
        this.exchange = exchange;
        this.connection = connection;
        this.memory = memory;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Watches the connection of an exchange whose request has been received completely.
     *
     * @param exchange the exchange
     * @param memory counts what is read ahead
     * @param onDisconnect run when the client disconnects, immediately if it has: a request that was read ahead may be begun
     *     when its client has left
     */
    static void start(HttpServerExchange exchange, ClientMemory memory, Runnable onDisconnect) {
        observeClose(exchange.getConnection(), onDisconnect);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            ClientDisconnectDetector detector =
                    new ClientDisconnectDetector(exchange, connection, memory, onDisconnect);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            // The request has been read completely, so its own conduit would always report the end of the stream.
            source.setConduit(connection.getOriginalSourceConduit());
            source.setReadListener(detector::onReadable);
            source.resumeReads();
            detector.onReadable(source);
        }
    }

    /** A connection keeps its close listeners, and serves one exchange at a time, so one listener is enough for all of them. */
    private static void observeClose(ServerConnection connection, Runnable onDisconnect) {
        boolean first = connection.getAttachment(CURRENT) == null;
        connection.putAttachment(CURRENT, onDisconnect);
        if (first) {
            connection.addCloseListener(closed -> closed.getAttachment(CURRENT).run());
        }
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        try {
            boolean mayHaveMore = hasRoom(source);
            while (mayHaveMore) {
                mayHaveMore = read(source) && hasRoom(source);
            }
        } catch (IOException e) {
            LOG.debug("event=client_reset why=\"{}\"", e.getMessage());
            onEnd(source);
        }
    }

    /** Reads once; false if there was nothing. */
    private boolean read(ConduitStreamSourceChannel source) throws IOException {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count < 0) {
                onEnd(source);
            } else if (count > 0) {
                pooled.getBuffer().flip();
                retained = keep(pooled);
            }
            return count > 0;
        } finally {
            if (!retained) {
                pooled.close();
            }
        }
    }

    // -- what was read ahead

    /** Keeps bytes behind those that were kept before. Returns false if they were copied. */
    private boolean keep(PooledByteBuffer pooled) {
        PooledByteBuffer before = connection.getExtraBytes();
        if (before == null) {
            connection.setExtraBytes(pooled);
            return true;
        }
        ByteBuffer read = pooled.getBuffer();
        ByteBuffer all = ByteBuffer.allocate(before.getBuffer().remaining() + read.remaining());
        all.put(before.getBuffer()).put(read).flip();
        before.close();
        connection.setExtraBytes(new ImmediatePooledByteBuffer(all));
        return false;
    }

    private int aheadBytes() {
        PooledByteBuffer ahead = connection.getExtraBytes();
        return ahead == null ? 0 : ahead.getBuffer().remaining();
    }

    /** Whether more may be read ahead; reads are suspended otherwise. */
    private boolean hasRoom(ConduitStreamSourceChannel source) {
        int bytes = aheadBytes();
        if (memory.holdAhead(exchange, bytes) && bytes < MAX_AHEAD_BYTES) {
            return true;
        }
        LOG.info("event=read_ahead_ended peer={} bytes={}", connection.getPeerAddress(), bytes);
        source.suspendReads();
        return false;
    }

    private void onEnd(ConduitStreamSourceChannel source) {
        source.suspendReads();
        PooledByteBuffer ahead = connection.getExtraBytes();
        if (ahead != null) {
            connection.setExtraBytes(null);
            ahead.close();
        }
        onDisconnect.run();
    }
}
