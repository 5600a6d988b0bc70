package org.micabarrow.transport.operators;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.settings.EntrySettings;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.BearerToken;
import org.micabarrow.transport.Metrics;
import org.micabarrow.transport.RequestBody;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP handlers for operators: {@code POST /plan}, {@code POST /confirm}, {@code GET /status}, {@code GET /explain}; and
 * for monitoring, without a token: {@code GET /metrics} and {@code GET /health}.
 */
public final class OperatorHandlers {

    private static final Logger LOG = LoggerFactory.getLogger(OperatorHandlers.class);
    private static final HttpString FILE_HEADER = new HttpString("X-File");

    private OperatorHandlers() {}

    /**
     * Creates the monitoring handler that every process has.
     *
     * @param metrics the metrics to report
     * @param healthy returns whether the process can do its work
     * @return the handler
     */
    public static HttpHandler monitoring(MetricRegistry metrics, BooleanSupplier healthy) {
        return Handlers.path()
                .addExactPath("/metrics", exchange -> send(exchange, 200, Metrics.snapshot(metrics)))
                .addExactPath("/health", exchange -> {
                    exchange.setStatusCode(healthy.getAsBoolean() ? 200 : 503);
                    exchange.endExchange();
                });
    }

    /**
     * Creates the handler for the operators of an entry.
     *
     * @param api performs the operations
     * @param operators the operators that have access
     * @param otherwise handles all other paths
     * @return the handler
     */
    public static HttpHandler api(OperatorApi api, List<EntrySettings.Operator> operators, HttpHandler otherwise) {
        Objects.requireNonNull(api, "api is null");
        return Handlers.path(otherwise)
                .addExactPath(
                        "/plan",
                        new AuthenticatedHandler(
                                operators, (operator, exchange, body) -> api.plan(fileName(exchange), body)))
                .addExactPath(
                        "/confirm",
                        new AuthenticatedHandler(
                                operators,
                                (operator, exchange, body) ->
                                        readPlanId(body).flatMap(id -> api.confirm(id, operator))))
                .addExactPath(
                        "/status",
                        new AuthenticatedHandler(operators, (operator, exchange, body) -> Result.success(api.status())))
                .addExactPath(
                        "/explain",
                        new AuthenticatedHandler(operators, (operator, exchange, body) -> explain(api, exchange)));
    }

    private static String fileName(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(FILE_HEADER))
                .orElse("intent");
    }

    private static Result<String> readPlanId(byte[] body) {
        try {
            return Result.success(CanonicalJson.read(body, OperatorMessages.ConfirmRequest.class)
                    .id());
        } catch (IOException e) {
            return Result.failure(
                    Fault.of(Step.CONFIRM, "operator", Reason.INVALID, "the body is not {\"id\": \"...\"}"));
        }
    }

    private static Result<OperatorMessages.ExplainResponse> explain(OperatorApi api, HttpServerExchange exchange) {
        Optional<String> model = queryParameter(exchange, "model");
        Optional<String> workload = model.or(() -> queryParameter(exchange, "service"));
        Optional<String> organisation = queryParameter(exchange, "organisation");
        if (workload.isEmpty() || organisation.isEmpty()) {
            return Result.failure(Fault.of(
                    Step.READ, "operator", Reason.INVALID, "explain needs an organisation and a model or service"));
        }
        return api.explain(organisation.get(), workload.get(), model.isPresent());
    }

    private static Optional<String> queryParameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::getFirst);
    }

    /** An operation that an authenticated operator requests. It may block. */
    private interface Operation {

        Result<?> execute(String operator, HttpServerExchange exchange, byte[] body);
    }

    /**
     * Performs an operation for requests that carry an operator's token, and responds in JSON. Threads that may block have the
     * operations alone: bodies are received, and responses written, on the connection's own.
     */
    private static final class AuthenticatedHandler implements HttpHandler {

        private final List<EntrySettings.Operator> operators;
        private final Operation operation;

        private AuthenticatedHandler(List<EntrySettings.Operator> operators, Operation operation) {
            this.operators = List.copyOf(operators);
            this.operation = operation;
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            Optional<String> operator = authenticate(exchange);
            if (operator.isEmpty()) {
                fail(
                        exchange,
                        Fault.of(Step.AUTHENTICATE, "operator", Reason.UNAUTHORISED, "no operator has this token"));
                return;
            }
            RequestBody.receive(
                    exchange,
                    exchange.getMaxEntitySize(),
                    HeldBytes.ofOthers(),
                    received -> handleBody(exchange, operator.get(), received));
        }

        private void handleBody(HttpServerExchange exchange, String operator, RequestBody.Received received) {
            switch (received) {
                case RequestBody.Received.Whole(byte[] bytes) ->
                    exchange.dispatch(() -> respond(exchange, operator, bytes));
                case RequestBody.Received.TooLong(long maxBytes) ->
                    fail(exchange, unread(Reason.TOO_LARGE, "it is longer than the " + maxBytes + " bytes allowed"));
                case RequestBody.Received.NoRoom(long bodyBytes) ->
                    fail(exchange, unread(Reason.OVERLOADED, "no memory is left for its " + bodyBytes + " bytes"));
                case RequestBody.Received.BrokenOff(IOException cause) ->
                    fail(exchange, unread(Reason.INVALID, String.valueOf(cause.getMessage())));
            }
        }

        private static Fault unread(Reason reason, String why) {
            return Fault.of(Step.READ, "operator", reason, "the body cannot be read: " + why);
        }

        private void respond(HttpServerExchange exchange, String operator, byte[] body) {
            try {
                switch (operation.execute(operator, exchange, body)) {
                    case Result.Success<?>(Object value) -> send(exchange, 200, CanonicalJson.write(value));
                    case Result.Failure<?>(Fault fault) -> fail(exchange, fault);
                }
            } catch (RuntimeException e) {
                LOG.error("event=operation_failed path={}", exchange.getRequestPath(), e);
                exchange.setStatusCode(500).endExchange();
            }
        }

        private Optional<String> authenticate(HttpServerExchange exchange) {
            return BearerToken.of(exchange.getRequestHeaders())
                    .map(Digest::of)
                    .flatMap(digest -> operators.stream()
                            .filter(operator -> operator.tokenDigest().equals(digest))
                            .map(EntrySettings.Operator::name)
                            .findFirst());
        }
    }

    private static void fail(HttpServerExchange exchange, Fault fault) {
        int status = switch (fault.reason()) {
            case INVALID, UNSATISFIABLE -> 400;
            case UNAUTHORISED -> 401;
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case TOO_LARGE -> 413;
            default -> 503;
        };
        send(
                exchange,
                status,
                CanonicalJson.write(new OperatorMessages.Error(
                        fault.step().name().toLowerCase(Locale.ROOT),
                        fault.peer(),
                        fault.reason().name().toLowerCase(Locale.ROOT),
                        fault.message())));
    }

    private static void send(HttpServerExchange exchange, int status, byte[] body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
