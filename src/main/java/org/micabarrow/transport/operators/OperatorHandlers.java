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
import org.micabarrow.transport.Metrics;

/**
 * Answers operators over HTTP: {@code POST /plan}, {@code POST /confirm}, {@code GET /status}, {@code GET /explain}; and
 * whoever watches, without a token: {@code GET /metrics} and {@code GET /health}.
 */
public final class OperatorHandlers {

    private static final String BEARER = "Bearer ";
    private static final HttpString FILE = new HttpString("X-File");

    private OperatorHandlers() {}

    /**
     * What every process shows to whoever watches.
     *
     * @param metrics the metrics
     * @param healthy whether the process can do its work
     * @return the handler
     */
    public static HttpHandler watching(MetricRegistry metrics, BooleanSupplier healthy) {
        return Handlers.path()
                .addExactPath(
                        "/metrics", new BlockingHandler(exchange -> send(exchange, 200, Metrics.snapshot(metrics))))
                .addExactPath("/health", exchange -> {
                    exchange.setStatusCode(healthy.getAsBoolean() ? 200 : 503);
                    exchange.endExchange();
                });
    }

    /**
     * What an entry shows besides.
     *
     * @param api answers operators
     * @param operators who may ask
     * @param otherwise answers everything else
     * @return the handler
     */
    public static HttpHandler api(OperatorApi api, List<EntrySettings.Operator> operators, HttpHandler otherwise) {
        Objects.requireNonNull(api, "api is null");
        return Handlers.path(otherwise)
                .addExactPath(
                        "/plan", new Asked(operators, (operator, exchange) -> api.plan(file(exchange), body(exchange))))
                .addExactPath(
                        "/confirm",
                        new Asked(
                                operators,
                                (operator, exchange) -> confirmId(exchange).flatMap(id -> api.confirm(id, operator))))
                .addExactPath("/status", new Asked(operators, (operator, exchange) -> Result.success(api.status())))
                .addExactPath("/explain", new Asked(operators, (operator, exchange) -> explain(api, exchange)));
    }

    private static String file(HttpServerExchange exchange) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(FILE)).orElse("intent");
    }

    private static byte[] body(HttpServerExchange exchange) throws IOException {
        return exchange.getInputStream().readAllBytes();
    }

    private static Result<String> confirmId(HttpServerExchange exchange) throws IOException {
        try {
            return Result.success(CanonicalJson.read(body(exchange), OperatorMessages.Confirm.class)
                    .id());
        } catch (JsonProcessingException e) {
            return Result.failure(
                    Fault.of(Step.CONFIRM, "operator", Reason.INVALID, "the body is not {\"id\": \"...\"}"));
        }
    }

    private static Result<OperatorMessages.Explained> explain(OperatorApi api, HttpServerExchange exchange) {
        Optional<String> model = query(exchange, "model");
        Optional<String> workload = model.or(() -> query(exchange, "service"));
        Optional<String> organisation = query(exchange, "organisation");
        if (workload.isEmpty() || organisation.isEmpty()) {
            return Result.failure(Fault.of(
                    Step.READ, "operator", Reason.INVALID, "explain needs an organisation and a model or service"));
        }
        return api.explain(organisation.get(), workload.get(), model.isPresent());
    }

    private static Optional<String> query(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::getFirst);
    }

    /** An operator's question. */
    private interface Question {

        Result<?> ask(String operator, HttpServerExchange exchange) throws IOException;
    }

    /** Lets in whoever has an operator's token, and answers in JSON. */
    private static final class Asked implements HttpHandler {

        private final List<EntrySettings.Operator> operators;
        private final HttpHandler blocking;

        private Asked(List<EntrySettings.Operator> operators, Question question) {
            this.operators = List.copyOf(operators);
            this.blocking = new BlockingHandler(exchange -> answer(question, exchange));
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) throws Exception {
            blocking.handleRequest(exchange);
        }

        private void answer(Question question, HttpServerExchange exchange) throws IOException {
            Optional<String> operator = operator(exchange);
            if (operator.isEmpty()) {
                fail(
                        exchange,
                        Fault.of(Step.AUTHENTICATE, "operator", Reason.UNAUTHORISED, "no operator has this token"));
                return;
            }
            switch (question.ask(operator.get(), exchange)) {
                case Result.Success<?>(Object value) -> send(exchange, 200, CanonicalJson.write(value));
                case Result.Failure<?>(Fault fault) -> fail(exchange, fault);
            }
        }

        private Optional<String> operator(HttpServerExchange exchange) {
            String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
            if (header == null || !header.startsWith(BEARER)) {
                return Optional.empty();
            }
            String digest = Digest.of(header.substring(BEARER.length()).trim());
            return operators.stream()
                    .filter(operator -> operator.tokenDigest().equals(digest))
                    .map(EntrySettings.Operator::name)
                    .findFirst();
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
