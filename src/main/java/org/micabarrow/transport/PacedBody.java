package org.micabarrow.transport;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Sends a chunk of weights in small pieces, evenly over the time that the link is booked for it. Sent at once, a chunk of 32
 * KB holds up for 50 ms whatever shares a link of 5 Mbit/s with it, and chunks of several agents that meet in one link do so
 * for several times as long; requests to the endpoint there then miss their objective.
 */
final class PacedBody {

    /** The size of a piece, in bytes: 6 ms of a link of 5 Mbit/s, and three packets. */
    private static final int PIECE_BYTES = 4 * 1024;

    private static final long NANOS_A_MILLI = 1_000_000;

    private final HttpServerExchange exchange;
    private final byte[] bytes;
    private final LinkPacer.Booking booking;
    private int sent;

    private PacedBody(HttpServerExchange exchange, byte[] bytes, LinkPacer.Booking booking) {
        this.exchange = exchange;
        this.bytes = bytes;
        this.booking = booking;
    }

    /** Sends a body of an exchange that was dispatched, over the time that was booked for it. */
    static void send(HttpServerExchange exchange, byte[] bytes, LinkPacer.Booking booking) {
        exchange.setResponseContentLength(bytes.length);
        new PacedBody(exchange, bytes, booking).sendNextWhenDue();
    }

    private void sendNextWhenDue() {
        long dueNanos = booking.fromNanos() + booking.nanos() * sent / bytes.length;
        long millis = Math.max(0, (dueNanos - System.nanoTime()) / NANOS_A_MILLI);
        exchange.getIoThread().executeAfter(this::sendNext, millis, TimeUnit.MILLISECONDS);
    }

    private void sendNext() {
        int length = Math.min(PIECE_BYTES, bytes.length - sent);
        ByteBuffer piece = ByteBuffer.wrap(bytes, sent, length);
        sent += length;
        exchange.getResponseSender().send(piece, sent == bytes.length ? IoCallback.END_EXCHANGE : new Next());
    }

    /** Goes on when a piece has been handed to the connection; ends the exchange if it cannot be. */
    private final class Next implements IoCallback {

        @Override
        public void onComplete(HttpServerExchange same, Sender sender) {
            sendNextWhenDue();
        }

        @Override
        public void onException(HttpServerExchange same, Sender sender, IOException e) {
            IoCallback.END_EXCHANGE.onException(same, sender, e);
        }
    }
}
