package org.micabarrow.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Deque;
import org.micabarrow.state.CanonicalJson;

/** Reads requests and writes answers in JSON. */
final class Replies {

    private Replies() {}

    static void json(HttpServerExchange exchange, Object value) {
        json(exchange, 200, value);
    }

    static void json(HttpServerExchange exchange, int status, Object value) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(CanonicalJson.write(value)));
    }

    static void status(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    static <T> T body(HttpServerExchange exchange, Class<T> type) throws IOException {
        return CanonicalJson.read(exchange.getInputStream().readAllBytes(), type);
    }

    static long number(HttpServerExchange exchange, String name, long otherwise) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? otherwise : Long.parseLong(values.getFirst());
    }

    /** The parts of the path. */
    static String[] path(HttpServerExchange exchange) {
        return exchange.getRequestPath().substring(1).split("/");
    }
}
