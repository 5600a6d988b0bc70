package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;

/** Makes a response that is broken off visibly incomplete. */
public final class ResponseAbort {

    private static final Logger LOG = LoggerFactory.getLogger(ResponseAbort.class);

    private ResponseAbort() {}

    /**
     * Makes the connection be reset when it is closed, if the response ends with it. That is so for HTTP/1.0, which has
     * no chunks: a client would take a graceful close for the end of the body.
     *
     * @param exchange the exchange whose connection is about to be closed
     */
    public static void resetUnlessDelimited(HttpServerExchange exchange) {
        if (!Objects.requireNonNull(exchange, "exchange is null").isHttp10()) {
            return;
        }
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, true);
        } catch (IOException e) {
            LOG.info("event=connection_closed_before_reset why=\"{}\"", e.toString());
        }
    }
}
