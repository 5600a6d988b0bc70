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
import org.micabarrow.serving.EndpointProtocol.AnswerHead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/** Writes one answer to a client. What breaks off ends in a closed connection, never in what looks like a whole answer. */
final class ClientAnswer {

    private static final Logger LOG = LoggerFactory.getLogger(ClientAnswer.class);

    private static final double MILLIS_A_SECOND = 1_000;

    /**
     * How long a client may take over an answer that was handed to its connection whole, in milliseconds: as long as a client
     * may take to send a request's head. A connection that fell silent never takes it, and without a limit would keep the
     * answer and its place among the open requests, for which a stop waits.
     */
    private static final long UNREAD_MILLIS = 10_000;

    private final HttpServerExchange exchange;
    private boolean begun;
    private boolean over;

    ClientAnswer(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Whether the client has been sent a head already. */
    boolean begun() {
        return begun;
    }

    /** Whether nothing more can be written. */
    boolean over() {
        return over;
    }

    /** The client's connection is gone. */
    void gone() {
        breakOff();
    }

    // -- answers of endpoints

    /** Begins an answer; its parts follow. */
    void head(AnswerHead head) {
        begun = true;
        exchange.setStatusCode(head.status());
        head.passedOn().forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
    }

    /** Writes a part; {@code then} runs when the next may come, {@code gone} if the client is no longer there. */
    void part(byte[] data, Runnable then, Runnable gone) {
        exchange.getResponseSender().send(ByteBuffer.wrap(data), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                then.run();
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                gone.run();
            }
        });
    }

    /** Ends an answer whose parts have all been written. */
    void end() {
        over = true;
        exchange.endExchange();
    }

    /** Writes an answer that is here whole. */
    void whole(AnswerHead head, byte[] body) {
        head(head);
        over = true;
        exchange.setResponseContentLength(body.length);
        last(body);
    }

    /** Writes all that is left to write, and closes the connection if the client does not take it. */
    private void last(byte[] body) {
        exchange.getResponseSender().send(ByteBuffer.wrap(body), IoCallback.END_EXCHANGE);
        if (!exchange.isResponseComplete()) {
            exchange.getIoThread().executeAfter(this::closeUnread, UNREAD_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeUnread() {
        if (!exchange.isResponseComplete()) {
            LOG.info("event=answer_not_taken path={}", exchange.getRequestPath());
            breakOff();
        }
    }

    /** Closes the connection in the middle of the answer, so that the client sees that it is not whole. */
    void breakOff() {
        over = true;
        IoUtils.safeClose(exchange.getConnection());
    }

    // -- own answers

    /** An answer of the entry's own, with when to come back if that is known to help. */
    void own(int status, String why, long retryAfterMillis) {
        over = true;
        begun = true;
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        if (retryAfterMillis > 0) {
            exchange.getResponseHeaders()
                    .put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_A_SECOND));
        }
        last((why + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
