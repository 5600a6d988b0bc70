package org.micabarrow.transport.operators;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
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

/**
 * The HTTP handlers for operators: {@code POST /plan}, {@code POST /confirm}, {@code GET /status}, {@code GET /explain}; and
 * for monitoring, without a token: {@code GET /metrics} and {@code GET /health}.
 */
public final class OperatorHandlers {

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
                .addExactPath(
                        "/metrics", new BlockingHandler(exchange -> send(exchange, 200, Metrics.snapshot(metrics))))
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
                                operators, (operator, exchange) -> api.plan(fileName(exchange), readBody(exchange))))
                .addExactPath(
                        "/confirm",
                        new AuthenticatedHandler(
                                operators,
                                (operator, exchange) -> readPlanId(exchange).flatMap(id -> api.confirm(id, operator))))
                .addExactPath(
                        "/status",
                        new AuthenticatedHandler(operators, (operator, exchange) -> Result.success(api.status())))
                .addExactPath(
                        "/explain",
                        new AuthenticatedHandler(operators, (operator, exchange) -> explain(api, exchange)));
    }

    private static String fileName(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(FILE_HEADER))
                .orElse("intent");
    }

    private static byte[] readBody(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    private static Result<String> readPlanId(HttpServerExchange exchange) throws IOException {
        try {
            return Result.success(CanonicalJson.read(readBody(exchange), OperatorMessages.ConfirmRequest.class)
                    .id());
        } catch (JsonProcessingException e) {
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

    /** An operation that an authenticated operator requests. */
    private interface Operation {

        Result<?> execute(String operator, HttpServerExchange exchange) throws IOException;
    }

    /** Performs an operation for requests that carry an operator's token, and responds in JSON. */
    private static final class AuthenticatedHandler implements HttpHandler {

        private final List<EntrySettings.Operator> operators;
        private final HttpHandler handler;

        private AuthenticatedHandler(List<EntrySettings.Operator> operators, Operation operation) {
            this.operators = List.copyOf(operators);
            this.handler = new BlockingHandler(exchange -> respond(operation, exchange));
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) throws Exception {
            handler.handleRequest(exchange);
        }

        private void respond(Operation operation, HttpServerExchange exchange) throws IOException {
            Optional<String> operator = authenticate(exchange);
            if (operator.isEmpty()) {
                fail(
                        exchange,
                        Fault.of(Step.AUTHENTICATE, "operator", Reason.UNAUTHORISED, "no operator has this token"));
                return;
            }
            switch (operation.execute(operator.get(), exchange)) {
                case Result.Success<?>(Object value) -> send(exchange, 200, CanonicalJson.write(value));
                case Result.Failure<?>(Fault fault) -> fail(exchange, fault);
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
