package org.micabarrow.platform.standin;

import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;

/** Reads the parameters of calls to stand-ins, and answers them. */
final class StandinCalls {

    private StandinCalls() {}

    /** The first value of a parameter, empty if the call has none of that name. */
    static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::getFirst);
    }

    /** The value of a parameter that must be there. */
    static long number(HttpServerExchange exchange, String name) {
        return Long.parseLong(parameter(exchange, name).orElseThrow());
    }

    static void answer(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
    }
}
