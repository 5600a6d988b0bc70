package org.micabarrow.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Deque;
import org.micabarrow.state.CanonicalJson;

/** Reads JSON request bodies and sends JSON responses. */
final class JsonExchanges {

    private JsonExchanges() {}

    static void sendJson(HttpServerExchange exchange, Object value) {
        sendJson(exchange, 200, value);
    }

    static void sendJson(HttpServerExchange exchange, int status, Object value) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(CanonicalJson.write(value)));
    }

    static void sendStatus(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        exchange.endExchange();
    }

    static <T> T readBody(HttpServerExchange exchange, Class<T> type) throws IOException {
        return CanonicalJson.read(exchange.getInputStream().readAllBytes(), type);
    }

    static long longParameter(HttpServerExchange exchange, String name, long defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? defaultValue : Long.parseLong(values.getFirst());
    }

    /** Returns the segments of the request path. */
    static String[] pathSegments(HttpServerExchange exchange) {
        return exchange.getRequestPath().substring(1).split("/");
    }
}
