package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * How a client recognises the end of a response. A response whose length is not known is sent so that one that breaks off looks
 * incomplete: in chunks, also if its connection is closed afterwards, or on a connection that is reset.
 */
public enum ResponseFraming {

    /** By its length. */
    LENGTH,

    /** By the last chunk. */
    CHUNKS,

    /** By a graceful end of the connection, which is all that clients without chunks have. */
    CONNECTION;

    private static final Logger LOG = LoggerFactory.getLogger(ResponseFraming.class);

    /** Present from the beginning of a response whose length is not known until it is complete. */
    private static final AttachmentKey<Boolean> INCOMPLETE = AttachmentKey.create(Boolean.class);

    /**
     * Returns the framing of a response.
     *
     * @param exchange an exchange whose response has begun
     * @return the framing that its header states
     */
    public static ResponseFraming of(HttpServerExchange exchange) {
        HeaderMap headers = Objects.requireNonNull(exchange, "exchange is null").getResponseHeaders();
        if (headers.contains(Headers.TRANSFER_ENCODING)) {
            return CHUNKS;
        }
        return headers.contains(Headers.CONTENT_LENGTH) ? LENGTH : CONNECTION;
    }

    /**
     * Chooses the framing of a response whose length is not known. To be called before its first byte is written, since the system
     * closes the connections of a process that is killed.
     *
     * @param exchange the exchange whose response begins
     */
    public static void begin(HttpServerExchange exchange) {
        Objects.requireNonNull(exchange, "exchange is null").putAttachment(INCOMPLETE, true);
        exchange.addDefaultResponseListener(ResponseFraming::closeIfIncomplete);
        if (exchange.isHttp11()) {
            // Undertow sends chunks by itself only if the connection is kept.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else {
            setResetOnClose(exchange, true);
        }
    }

    /**
     * Allows the response to end, and makes its connection end gracefully when it is closed. To be called when the last byte of the
     * response has been written.
     *
     * @param exchange the exchange whose response is complete
     */
    public static void complete(HttpServerExchange exchange) {
        Objects.requireNonNull(exchange, "exchange is null").removeAttachment(INCOMPLETE);
        if (of(exchange) == CONNECTION) {
            setResetOnClose(exchange, false);
        }
    }

    /** Called when the exchange is ended, which writes the last chunk. Undertow ends it by itself if a handler throws. */
    private static boolean closeIfIncomplete(HttpServerExchange exchange) {
        boolean begun = exchange.isResponseStarted() && exchange.getAttachment(INCOMPLETE) != null;
        // A connection that was closed during the response ends its exchange too, and nothing more is written.
        if (!begun || !exchange.getConnection().isOpen()) {
            return false;
        }
        LOG.warn("event=response_ended_too_early path={}", exchange.getRequestPath());
        IoUtils.safeClose(exchange.getConnection());
        return true;
    }

    private static void setResetOnClose(HttpServerExchange exchange, boolean reset) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException e) {
            LOG.info("event=connection_closed_before_reset why=\"{}\"", e.toString());
        }
    }
}
