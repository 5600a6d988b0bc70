package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Objects;

/** How a client recognises the end of a response. */
public enum ResponseFraming {

    /** By its length. */
    LENGTH,

    /** By the last chunk. */
    CHUNKS,

    /** By the end of the connection. */
    CONNECTION;

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
}
