package org.micabarrow.serving;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
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
     * How long a client may take to receive the end of a response, in milliseconds: as long as it may take to send a
     * request head. Without this limit, a client that stops reading would keep the response in memory and its request
     * open, and a stopping entry waits for open requests.
     */
    private static final long UNREAD_TIMEOUT_MILLIS = 10_000;

    private final HttpServerExchange exchange;
    private boolean started;
    private boolean finished;

    ClientResponse(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Whether a response head has been sent to the client. */
    boolean started() {
        return started;
    }

    /** Whether nothing more can be written. */
    boolean finished() {
        return finished;
    }

    /** Closes the response after its client has disconnected. */
    void onDisconnect() {
        abort();
    }

    // -- responses of endpoints

    /** Starts a response; its body follows. */
    void start(ResponseHead head) {
        started = true;
        exchange.setStatusCode(head.status());
        head.forwardedHeaders()
                .forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    /**
     * Writes a part of the body. {@code onWritten} runs when the next part may be written, {@code onDisconnect} if the
     * client has disconnected.
     */
    void write(byte[] data, Runnable onWritten, Runnable onDisconnect) {
        exchange.getResponseSender().send(ByteBuffer.wrap(data), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                onWritten.run();
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                onDisconnect.run();
            }
        });
    }

    /** Ends a response whose body has been written. */
    void end() {
        finished = true;
        exchange.endExchange();
    }

    /** Sends a response that is already complete. */
    void sendWhole(ResponseHead head, byte[] body) {
        start(head);
        finished = true;
        exchange.setResponseContentLength(body.length);
        sendRemaining(body);
    }

    /** Writes the end of the response, and closes the connection if the client does not receive it in time. */
    private void sendRemaining(byte[] body) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
        if (!exchange.isResponseComplete()) {
            exchange.getIoThread().executeAfter(this::closeUnread, UNREAD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeUnread() {
        if (!exchange.isResponseComplete()) {
            LOG.info("event=answer_not_taken path={}", exchange.getRequestPath());
            abort();
        }
    }

    /** Closes the connection during the response, so that the client can detect that it is incomplete. */
    void abort() {
        finished = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    // -- responses of the entry itself

    /** Sends a response of the entry itself, with a Retry-After header if the time is positive. */
    void sendOwn(int status, String reason, long retryAfterMillis) {
        finished = true;
        started = true;
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        if (retryAfterMillis > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        sendRemaining((reason + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
