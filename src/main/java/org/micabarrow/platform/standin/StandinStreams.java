package org.micabarrow.platform.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/** What stand-ins of endpoints answer with, whole or cut. */
final class StandinStreams {

    /** How many events a whole stream has. */
    private static final int EVENTS = 3;

    private StandinStreams() {}

    /** The events from one on; of a cut stream, that one and the beginning of the next. */
    static byte[] events(String id, int from, boolean cut) {
        StringBuilder text = new StringBuilder();
        int until = cut ? from : EVENTS;
        for (int i = from; i <= until; i++) {
            text.append("id: ").append(i).append("\ndata: from ").append(id).append("\n\n");
        }
        if (cut) {
            text.append("id: ").append(until + 1).append("\nda");
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Sends a body, and closes the connection after it if the answer is to look cut. */
    static void send(HttpServerExchange exchange, byte[] body, boolean cut) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), ending(cut));
    }

    private static IoCallback ending(boolean cut) {
        if (!cut) {
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
