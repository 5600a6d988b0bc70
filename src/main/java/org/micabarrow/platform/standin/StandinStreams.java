package org.micabarrow.platform.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/** Response bodies of endpoint stand-ins, complete or truncated. */
final class StandinStreams {

    /** Number of events in a complete stream. */
    private static final int EVENTS = 3;

    private StandinStreams() {}

    /** Returns the events from the given one; for a truncated stream, that event and the beginning of the next. */
    static byte[] events(String id, int from, boolean truncated) {
        StringBuilder text = new StringBuilder();
        int until = truncated ? from : EVENTS;
        for (int i = from; i <= until; i++) {
            text.append("id: ").append(i).append("\ndata: from ").append(id).append("\n\n");
        }
        if (truncated) {
            text.append("id: ").append(until + 1).append("\nda");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a body, and for a truncated answer closes the connection afterwards. */
    static void send(HttpServerExchange exchange, byte[] body, boolean truncated) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), completionCallback(truncated));
    }

    private static IoCallback completionCallback(boolean truncated) {
        if (!truncated) {
            return IoCallback.END_EXCHANGE;
        }
        return new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange exchange, Sender sender) {
                IoUtils.safeClose(exchange.getConnection());
            }

            @Override
            public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
                IoUtils.safeClose(exchange.getConnection());
            }
        };
    }
}
