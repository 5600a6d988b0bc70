package org.micabarrow.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
import org.micabarrow.transport.HeaderMaps;
import org.micabarrow.transport.ResponseFraming;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Writes one response to a client. A response that breaks off closes the connection, so that the client cannot take it
 * for complete.
 */
final class ClientResponse {

    private static final Logger LOG = LoggerFactory.getLogger(ClientResponse.class);

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * How long a client may take nothing of the end of a response, in milliseconds: as long as it may take to send a
     * request head. Without this limit, a client that stops reading would keep the response in memory and its request
     * open, and a stopping entry waits for open requests.
     */
    private static final long UNREAD_TIMEOUT_MILLIS = 10_000;

    private final HttpServerExchange exchange;
    private final ClientMemory memory;
    private final HeldBytes.Hold buffered;
    private final UnreadAnswer unread;
    private Consumer<String> onCut = reason -> {};
    private Runnable onDisconnect = () -> {};
    private boolean started;
    private boolean finished;

    ClientResponse(HttpServerExchange exchange, ClientMemory memory) {
        this.exchange = exchange;
        this.memory = memory;
        this.buffered = memory.holdAnswer(exchange, () -> cut("the process holds too much, and most for this client"));
        HeldBytes.Hold queued =
                memory.holdAnswer(exchange, () -> cut("the process holds too much, and most for this client"));
        this.unread = new UnreadAnswer(exchange, queued, new UnreadEvents());
    }

    /** Sets what runs when the answer is cut, with the reason, and when the client has disconnected. */
    void onEnd(Consumer<String> whenCut, Runnable whenDisconnected) {
        onCut = whenCut;
        onDisconnect = whenDisconnected;
    }

    /** Whether a response head has been sent to the client. */
    boolean started() {
        return started;
    }

    /** How the client recognises the end of the response, and whether its connection is kept, for the log. */
    String describe() {
        // What has not begun is sent with its length.
        ResponseFraming framing = started ? ResponseFraming.of(exchange) : ResponseFraming.LENGTH;
        return "toClient=" + framing + " kept=" + exchange.isPersistent();
    }

    /** Whether nothing more can be written. */
    boolean finished() {
        return finished;
    }

    /** Closes the response after its client has disconnected. */
    void onDisconnect() {
        abort();
    }

    /** Ends the request for the sake of memory; a response that has begun is visibly incomplete. */
    private void cut(String reason) {
        memory.recordCut(exchange, unread.bytes(), reason);
        boolean begun = started;
        onCut.accept(reason);
        if (begun) {
            abort();
        }
    }

    /** Reacts to what happens to the parts that the client has not taken. */
    private final class UnreadEvents implements UnreadAnswer.Events {

        @Override
        public void onTaken() {
            ResponseFraming.complete(exchange);
            exchange.endExchange();
        }

        @Override
        public void onDisconnected() {
            onDisconnect.run();
            abort();
        }

        @Override
        public void onTooSlow() {
            cut("the client takes the answer too slowly");
        }
    }

    // -- responses of endpoints

    /** Starts a response; its body follows. */
    void start(ResponseHead head) {
        setHead(head);
        ResponseFraming.begin(exchange);
    }

    private void setHead(ResponseHead head) {
        started = true;
        exchange.setStatusCode(head.status());
        HeaderMaps.putAll(exchange.getResponseHeaders(), head.forwardedHeaders());
    }

    /** Counts what is buffered of a response that has not started. */
    void buffering(long bytes) {
        buffered.set(bytes);
    }

    /** Writes a part of the body; {@code more} runs when the next part may be read from the endpoint. */
    void write(byte[] data, Runnable more) {
        unread.append(data, more);
    }

    /** Ends a response with the last part of its body. */
    void end(byte[] data) {
        finished = true;
        unread.end(data);
        closeUnlessTaken();
    }

    /** Sends a response that is already complete. */
    void sendWhole(ResponseHead head, byte[] body) {
        setHead(head);
        exchange.setResponseContentLength(body.length);
        buffered.release();
        end(body);
    }

    /** Closes the connection unless the client goes on taking the end of the response. */
    private void closeUnlessTaken() {
        if (!exchange.isResponseComplete()) {
            long leftBytes = unread.bytes();
            exchange.getIoThread()
                    .executeAfter(() -> checkTaken(leftBytes), UNREAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkTaken(long beforeBytes) {
        if (exchange.isResponseComplete()) {
            return;
        }
        if (unread.bytes() < beforeBytes) {
            closeUnlessTaken();
        } else {
            LOG.info("event=answer_not_taken path={}", exchange.getRequestPath());
            abort();
        }
    }

    /** Closes the connection during the response, so that the client can detect that it is incomplete. */
    void abort() {
        finished = true;
        unread.close();
        buffered.release();
        IoUtils.safeClose(exchange.getConnection());
    }

    // -- responses of the entry itself

    /** Sends a response of the entry itself, with a Retry-After header if the time is positive. */
    void sendOwn(int status, String reason, long retryAfterMillis) {
        started = true;
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        if (retryAfterMillis > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.setResponseContentLength(body.length);
        buffered.release();
        end(body);
    }
}
