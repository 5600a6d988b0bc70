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
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.requests.CallerRequest;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.ResponseFraming;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;

/**
 * Writes the response to one caller request. Its headers state where the request was handled. A response that fails after
 * its head was sent closes the connection, so that the caller cannot take it for a complete response.
 */
final class CallerResponse implements ResponseListener {

    private static final Logger AUDIT = LoggerFactory.getLogger("org.micabarrow.audit");
    private static final String HEADER_PREFIX = "X-Micabarrow-";

    private final HttpServerExchange exchange;
    private final String requestId;
    private volatile Optional<CallerRequest> request = Optional.empty();
    private volatile Optional<ResponseHead> head = Optional.empty();
    private volatile boolean ended;
    private volatile boolean connectionClosed;
    private volatile Runnable cancelAction = () -> {};
    private volatile Runnable finishAction = () -> {};
    private final AtomicBoolean finished = new AtomicBoolean();

    CallerResponse(HttpServerExchange exchange, String requestId) {
        this.exchange = Objects.requireNonNull(exchange, "exchange is null");
        this.requestId = Objects.requireNonNull(requestId, "requestId is null");
    }

    String requestId() {
        return requestId;
    }

    void setRequest(CallerRequest parsedRequest) {
        request = Optional.of(parsedRequest);
    }

    /** Registers an action that runs once when the response is finished, whether it succeeded or not. */
    void onFinish(Runnable action) {
        finishAction = action;
    }

    /** Marks the response as finished: it has been written, or can no longer be written. */
    void finish() {
        if (finished.compareAndSet(false, true)) {
            finishAction.run();
        }
    }

    /** Registers the action that cancels the request, and runs it if the connection has already closed. */
    void setCancelAction(Runnable action) {
        cancelAction = action;
        if (connectionClosed) {
            onConnectionClosed();
        }
    }

    /** Whether the caller has left. */
    boolean connectionClosed() {
        return connectionClosed;
    }

    /** Cancels the request if its outcome is not known when the caller leaves or the connection closes. */
    void onConnectionClosed() {
        connectionClosed = true;
        if (!ended) {
            cancelAction.run();
        }
        finish();
    }

    // -- parts of the response

    @Override
    public void onHead(ResponseHead newHead) {
        head = Optional.of(newHead);
        ResponseFraming.begin(exchange);
        exchange.setStatusCode(newHead.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, newHead.contentType());
        setHeader("Request", requestId);
        setHeader("Attempt", newHead.attempt());
        setHeader("Region", newHead.region());
        setHeader("Hall", newHead.hall());
        setHeader("Instance", newHead.instance());
        setHeader("Version", newHead.version());
        setHeader("Generation", Long.toString(newHead.generation()));
    }

    private void setHeader(String name, String value) {
        exchange.getResponseHeaders().put(new HttpString(HEADER_PREFIX + name), value);
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        exchange.getResponseSender().send(ByteBuffer.wrap(data), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange current, Sender sender) {
                more.run();
            }

            @Override
            public void onException(HttpServerExchange current, Sender sender, IOException e) {
                closeIncomplete();
                more.run();
            }
        });
    }

    @Override
    public void onEnd(Outcome outcome) {
        ended = true;
        logAudit(outcome);
        switch (outcome) {
            case Outcome.Answered ignored -> {
                ResponseFraming.complete(exchange);
                exchange.endExchange();
            }
            case Outcome.NotRun(Fault fault, Duration retryAfter) -> sendNotRun(fault, retryAfter);
            case Outcome.Unknown(Fault fault) -> sendUnknown(fault);
        }
    }

    // -- errors

    private void sendNotRun(Fault fault, Duration retryAfter) {
        long millis = Math.max(1, retryAfter.toMillis());
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString((millis + 999) / 1000));
        setHeader("Retry-After-Millis", Long.toString(millis));
        sendError("not_run", statusOf(fault), fault);
    }

    private static int statusOf(Fault fault) {
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

    private void sendUnknown(Fault fault) {
        if (head.isEmpty()) {
            sendError("unknown", fault.reason() == Fault.Reason.CONFLICT ? 409 : 502, fault);
            return;
        }
        if (EventSplitter.isEventStream(head.get().contentType())
                && exchange.getConnection().isOpen()) {
            byte[] event = ("data: " + new String(errorBody("unknown", fault), StandardCharsets.UTF_8) + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            onData(event, this::closeIncomplete);
        } else {
            closeIncomplete();
        }
    }

    private void closeIncomplete() {
        IoUtils.safeClose(exchange.getConnection());
    }

    private void sendError(String outcome, int status, Fault fault) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        setHeader("Request", requestId);
        setHeader("Outcome", outcome);
        exchange.getResponseSender().send(ByteBuffer.wrap(errorBody(outcome, fault)), IoCallback.END_EXCHANGE);
    }

    private static byte[] errorBody(String outcome, Fault fault) {
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

    private void logAudit(Outcome outcome) {
        AUDIT.info(
                "request={} organisation={} workload={} outcome={} instance={} hall={} region={} version={} "
                        + "generation={} attempt={} toCaller={} kept={}{}",
                requestId,
                request.map(parsed -> parsed.organisation().name()).orElse("-"),
                request.map(CallerRequest::workload).orElse("-"),
                outcome.getClass().getSimpleName(),
                head.map(ResponseHead::instance).orElse("-"),
                head.map(ResponseHead::hall).orElse("-"),
                head.map(ResponseHead::region).orElse("-"),
                head.map(ResponseHead::version).orElse("-"),
                head.map(ResponseHead::generation).orElse(-1L),
                head.map(ResponseHead::attempt).orElse("-"),
                head.isPresent() ? ResponseFraming.of(exchange) : ResponseFraming.LENGTH,
                exchange.isPersistent(),
                reasonSuffix(outcome));
    }

    private static String reasonSuffix(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered ignored -> "";
            case Outcome.NotRun(Fault fault, Duration ignored) -> " why=\"" + fault + "\"";
            case Outcome.Unknown(Fault fault) -> " why=\"" + fault + "\"";
        };
    }
}
