package org.micabarrow.transport;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.memory.HeldBytes;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a client has closed its connection while it waits for a response. The server does not read from a
 * connection while its request is being served, so it would notice only when it writes the response. What the client sends
 * meanwhile are its next requests, which are kept until the current one has been answered, and dropped if the client leaves.
 *
 * <p>Used on the thread of the connection, on which the exchange must be ended too. With TLS, what is read are the bytes after
 * decryption; the client has left when it ends its session or its connection.
 *
 * <pre>{@code
 * DisconnectDetector.start(exchange, held, () -> cancelRequest());
 * }</pre>
 */
public final class DisconnectDetector {

    /**
     * How much is read ahead on one connection, in bytes: some requests with ordinary prompts. Beyond it nothing is read until
     * the current request has been answered, and a disconnect is not detected before.
     */
    static final int MAX_AHEAD_BYTES = 256 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");
    private static final AttachmentKey<DisconnectDetector> CURRENT = AttachmentKey.create(DisconnectDetector.class);

    private final ServerConnection client;
    private final HeldBytes held;
    private final Runnable onDisconnect;
    private Optional<HeldBytes.Hold> ahead = Optional.empty();
    private boolean ended;

    private DisconnectDetector(ServerConnection client, HeldBytes held, Runnable onDisconnect) {
        this.client = client;
        this.held = held;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Watches the connection of an exchange whose request has been received completely, until the exchange ends.
     *
     * @param exchange the exchange
     * @param held counts what is read ahead, and bounds it for all connections together
     * @param onDisconnect run when the client disconnects, immediately if it has: a request that was read ahead may be begun
     *     when its client has left. It may be run again when the connection is closed
     */
    public static void start(HttpServerExchange exchange, HeldBytes held, Runnable onDisconnect) {
        Objects.requireNonNull(exchange, "exchange is null");
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(onDisconnect, "onDisconnect is null");
        DisconnectDetector detector = new DisconnectDetector(exchange.getConnection(), held, onDisconnect);
        detector.observeEnd(exchange);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            detector.startReading(connection);
        }
    }

    /** A connection serves one exchange at a time, and keeps its close listeners, so one is enough for all exchanges. */
    private void observeEnd(HttpServerExchange exchange) {
        boolean first = client.getAttachment(CURRENT) == null;
        client.putAttachment(CURRENT, this);
        if (first) {
            client.addCloseListener(closed -> closed.getAttachment(CURRENT).onClosed());
        }
        exchange.addExchangeCompleteListener((same, next) -> {
            ended = true;
            releaseAhead();
            next.proceed();
        });
    }

    private void onClosed() {
        releaseAhead();
        onDisconnect.run();
    }

    private void releaseAhead() {
        ahead.ifPresent(HeldBytes.Hold::release);
        ahead = Optional.empty();
    }

    private void startReading(HttpServerConnection connection) {
        ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
        // The request has been read completely, so its own conduit would always report the end of the stream.
        source.setConduit(connection.getOriginalSourceConduit());
        source.setReadListener(readable -> onReadable(connection, readable));
        source.resumeReads();
        onReadable(connection, source);
    }

    private void onReadable(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        if (ended) {
            // The server reads on as soon as it has begun with what was kept.
            source.suspendReads();
            return;
        }
        try {
            boolean mayHaveMore = hasRoom(connection, source);
            while (mayHaveMore) {
                mayHaveMore = read(connection, source) && hasRoom(connection, source);
            }
        } catch (IOException e) {
            LOG.debug("event=client_reset why=\"{}\"", e.getMessage());
            onEnd(connection, source);
        }
    }

    /** Reads once; false if there was nothing. */
    private boolean read(HttpServerConnection connection, ConduitStreamSourceChannel source) throws IOException {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean retained = false;
        try {
            int count = source.read(pooled.getBuffer());
            if (count < 0) {
                onEnd(connection, source);
            } else if (count > 0) {
                pooled.getBuffer().flip();
                retained = keep(connection, pooled);
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
    private static boolean keep(HttpServerConnection connection, PooledByteBuffer pooled) {
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

    /** Whether more may be read ahead; reads are suspended otherwise. */
    private boolean hasRoom(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        PooledByteBuffer kept = connection.getExtraBytes();
        int bytes = kept == null ? 0 : kept.getBuffer().remaining();
        if (hold(bytes) && bytes < MAX_AHEAD_BYTES) {
            return true;
        }
        LOG.info("event=read_ahead_ended peer={} bytes={}", connection.getPeerAddress(), bytes);
        source.suspendReads();
        return false;
    }

    /** Counts what is read ahead; false if there is no memory for more. */
    private boolean hold(int aheadBytes) {
        if (aheadBytes == 0) {
            // Only by reading does the end of the connection show.
            return true;
        }
        if (ahead.isEmpty()) {
            ahead = Optional.of(held.holdAhead());
        }
        ahead.get().set(aheadBytes);
        return held.hasRoomAhead();
    }

    private void onEnd(HttpServerConnection connection, ConduitStreamSourceChannel source) {
        source.suspendReads();
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept != null) {
            connection.setExtraBytes(null);
            kept.close();
        }
        releaseAhead();
        onDisconnect.run();
    }
}
