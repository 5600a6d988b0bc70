package org.micabarrow.transport.callers;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.requests.CallerRequest;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Writes one answer to a caller. Its headers say where the request was handled; an answer that breaks off ends in a
 * closed connection and never in what looks like a whole answer.
 */
final class CallerAnswer implements AnswerListener {

    private static final Logger AUDIT = LoggerFactory.getLogger("org.micabarrow.audit");
    private static final String PREFIX = "X-Micabarrow-";
    private static final String EVENTS = "text/event-stream";

    private final HttpServerExchange exchange;
    private final String requestId;
    private volatile Optional<CallerRequest> request = Optional.empty();
    private volatile Optional<AnswerHead> head = Optional.empty();
    private volatile boolean ended;
    private volatile boolean closed;
    private volatile Runnable cancel = () -> {};
    private volatile Runnable afterwards = () -> {};
    private final AtomicBoolean over = new AtomicBoolean();

    CallerAnswer(HttpServerExchange exchange, String requestId) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.requestId = Objects.requireNonNull(requestId, "requestId is null");
    }

    String requestId() {
        return requestId;
    }

    void about(CallerRequest understood) {
        request = Optional.of(understood);
    }

    /** Registers what is to be done once the answer is over, however it ended. */
    void whenOver(Runnable work) {
        afterwards = work;
    }

    /** The answer has been written, or can no longer be. */
    void over() {
        if (over.compareAndSet(false, true)) {
            afterwards.run();
        }
    }

    /** Registers how to cancel the request. */
    void cancelWith(Runnable runnable) {
        cancel = runnable;
        if (closed) {
            connectionClosed();
        }
    }

    /** Cancels the request if the caller went before its end. */
    void connectionClosed() {
        closed = true;
        if (!ended) {
            cancel.run();
        }
        over();
    }

    // -- parts of the answer

    @Override
    public void onHead(AnswerHead begun) {
        head = Optional.of(begun);
        exchange.setStatusCode(begun.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, begun.contentType());
        header("Request", requestId);
        header("Attempt", begun.attempt());
        header("Region", begun.region());
        header("Hall", begun.hall());
        header("Instance", begun.instance());
        header("Version", begun.version());
        header("Generation", Long.toString(begun.generation()));
    }

    private void header(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(PREFIX + name), value);
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        exchange.getResponseSender().send(ByteBuffer.wrap(data), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                more.run();
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                IoUtils.safeClose(same.getConnection());
                more.run();
            }
        });
    }

    @Override
    public void onEnd(Outcome outcome) {
        ended = true;
        audit(outcome);
        switch (outcome) {
            case Outcome.Answered ignored -> exchange.endExchange();
            case Outcome.NotRun(Fault fault, Duration retryAfter) -> notRun(fault, retryAfter);
            case Outcome.Unknown(Fault fault) -> unknown(fault);
        }
    }

    // -- errors

    private void notRun(Fault fault, Duration retryAfter) {
        long millis = Math.max(1, retryAfter.toMillis());
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString((millis + 999) / 1000));
        header("Retry-After-Millis", Long.toString(millis));
        error("not_run", status(fault), fault);
    }

    private static int status(Fault fault) {
        return switch (fault.reason()) {
            case INVALID -> 400;
            case UNAUTHORISED -> 401;
            case OUTSIDE_PLACEMENT -> 403;
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case TOO_LARGE -> 413;
            case OVERLOADED -> 429;
            case TOO_LATE -> 504;
            default -> 503;
        };
    }

    private void unknown(Fault fault) {
        if (head.isEmpty()) {
            error("unknown", fault.reason() == Fault.Reason.CONFLICT ? 409 : 502, fault);
            return;
        }
        if (head.get().contentType().startsWith(EVENTS)
                && exchange.getConnection().isOpen()) {
            byte[] event = ("data: " + new String(body("unknown", fault), StandardCharsets.UTF_8) + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            onData(event, () -> IoUtils.safeClose(exchange.getConnection()));
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void error(String outcome, int status, Fault fault) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        header("Request", requestId);
        header("Outcome", outcome);
        exchange.getResponseSender().send(ByteBuffer.wrap(body(outcome, fault)), IoCallback.END_EXCHANGE);
    }

    private static byte[] body(String outcome, Fault fault) {
        return CanonicalJson.write(Map.of(
                "error",
                Map.of(
                        "type", outcome,
                        "code", fault.reason().name().toLowerCase(Locale.ROOT),
                        "step", fault.step().name().toLowerCase(Locale.ROOT),
                        "peer", fault.peer(),
                        "message", fault.message())));
    }

    // -- audit

    private void audit(Outcome outcome) {
        AUDIT.info(
                "request={} organisation={} workload={} outcome={} instance={} hall={} region={} version={} "
                        + "generation={} attempt={}{}",
                requestId,
                request.map(one -> one.organisation().name()).orElse("-"),
                request.map(CallerRequest::workload).orElse("-"),
                outcome.getClass().getSimpleName(),
                head.map(AnswerHead::instance).orElse("-"),
                head.map(AnswerHead::hall).orElse("-"),
                head.map(AnswerHead::region).orElse("-"),
                head.map(AnswerHead::version).orElse("-"),
                head.map(AnswerHead::generation).orElse(-1L),
                head.map(AnswerHead::attempt).orElse("-"),
                why(outcome));
    }

    private static String why(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered ignored -> "";
            case Outcome.NotRun(Fault fault, Duration ignored) -> " why=\"" + fault + "\"";
            case Outcome.Unknown(Fault fault) -> " why=\"" + fault + "\"";
        };
    }
}
