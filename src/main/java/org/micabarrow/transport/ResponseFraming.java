package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.IOException;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
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
        if (Objects.requireNonNull(exchange, "exchange is null").isHttp11()) {
            // Undertow sends chunks by itself only if the connection is kept.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else {
            setResetOnClose(exchange, true);
        }
    }

    /**
     * Makes the connection end gracefully when it is closed. To be called when the last byte of the response has been written.
     *
     * @param exchange the exchange whose response is complete
     */
    public static void complete(HttpServerExchange exchange) {
        if (of(exchange) == CONNECTION) {
            setResetOnClose(exchange, false);
        }
    }

    private static void setResetOnClose(HttpServerExchange exchange, boolean reset) {
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException e) {
            LOG.info("event=connection_closed_before_reset why=\"{}\"", e.toString());
        }
    }
}
