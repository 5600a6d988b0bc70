package org.micabarrow.transport;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/**
 * Sends a chunk of weights in small pieces, spread evenly over the time for which the link is reserved. Sent all at
 * once, a chunk of 32 KB delays all other traffic on a link of 5 Mbit/s by 50 ms, and chunks from several agents that
 * share one link delay it several times as long. Requests to the endpoint on that link then miss their latency
 * objective.
 */
final class PacedBody {

    /** The size of a piece, in bytes: 6 ms on a link of 5 Mbit/s, and three packets. */
    private static final int PIECE_BYTES = 4 * 1024;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final HttpServerExchange exchange;
    private final byte[] bytes;
    private final LinkPacer.Reservation reservation;
    private int sent;

    private PacedBody(HttpServerExchange exchange, byte[] bytes, LinkPacer.Reservation reservation) {
        this.exchange = exchange;
        this.bytes = bytes;
        this.reservation = reservation;
    }

    /** Sends the body of a dispatched exchange over the time that was reserved for it. */
    static void send(HttpServerExchange exchange, byte[] bytes, LinkPacer.Reservation reservation) {
        exchange.setResponseContentLength(bytes.length);
        new PacedBody(exchange, bytes, reservation).sendNextWhenDue();
    }

    private void sendNextWhenDue() {
        long dueNanos = reservation.fromNanos() + reservation.nanos() * sent / bytes.length;
        long millis = Math.max(0, (dueNanos - System.nanoTime()) / NANOS_PER_MILLI);
        exchange.getIoThread().executeAfter(this::sendNext, millis, TimeUnit.MILLISECONDS);
    }

    private void sendNext() {
        int length = Math.min(PIECE_BYTES, bytes.length - sent);
        ByteBuffer piece = ByteBuffer.wrap(bytes, sent, length);
        sent += length;
        exchange.getResponseSender().send(piece, sent == bytes.length ? IoCallback.END_EXCHANGE : new PieceCallback());
    }

    /** Schedules the next piece when one has been written to the connection; ends the exchange if writing fails. */
    private final class PieceCallback implements IoCallback {

        @Override
        public void onComplete(HttpServerExchange current, Sender sender) {
            sendNextWhenDue();
        }

        @Override
        public void onException(HttpServerExchange current, Sender sender, IOException e) {
            IoCallback.END_EXCHANGE.onException(current, sender, e);
        }
    }
}
