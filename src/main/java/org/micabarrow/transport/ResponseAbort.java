package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.Options;

/**
 * Makes a response that is broken off visibly incomplete, also if it ends with its connection. That is so for HTTP/1.0,
 * which has no chunks: a client would take a graceful close for the end of the body.
 */
public final class ResponseAbort {

    private static final Logger LOG = LoggerFactory.getLogger(ResponseAbort.class);

    private ResponseAbort() {}

    /**
     * Makes the connection be reset when it is closed, if the response ends with it. To be called when the response
     * begins, since the system closes the connections of a process that is killed.
     *
     * @param exchange the exchange whose response is incomplete from now on
     */
    public static void resetUnlessDelimited(HttpServerExchange exchange) {
        setResetOnClose(exchange, true);
    }

    /**
     * Makes the connection end gracefully again when it is closed. To be called when the last byte of the response has
     * been written.
     *
     * @param exchange the exchange whose response is complete
     */
    public static void closeGracefully(HttpServerExchange exchange) {
        setResetOnClose(exchange, false);
    }

    private static void setResetOnClose(HttpServerExchange exchange, boolean reset) {
        if (!Objects.requireNonNull(exchange, "exchange is null").isHttp10()) {
            return;
        }
        try {
            exchange.getConnection().setOption(Options.CLOSE_ABORT, reset);
        } catch (IOException e) {
            LOG.info("event=connection_closed_before_reset why=\"{}\"", e.toString());
        }
    }
}
