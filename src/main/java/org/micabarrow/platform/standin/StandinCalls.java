package org.micabarrow.platform.standin;

import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;

/** Helpers that read query parameters and send responses. */
final class StandinCalls {

    private StandinCalls() {}

    /** Returns the first value of a query parameter; empty if absent. */
    static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::getFirst);
    }

    /** Returns the value of a required numeric query parameter. */
    static long longParameter(HttpServerExchange exchange, String name) {
        return Long.parseLong(parameter(exchange, name).orElseThrow());
    }

    static void answer(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
    }
}
