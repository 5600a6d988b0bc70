package org.micabarrow.transport.callers;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.requests.CallerRequest;
import org.micabarrow.coordination.requests.RequestFlow;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Result;

/**
 * Takes callers' requests: chat completions for models under {@code /v1/chat/completions}, and plain HTTP for services
 * under {@code /services/NAME/}.
 */
public final class CallerHandler implements HttpHandler {

    private static final String CHAT = "/v1/chat/completions";
    private static final String SERVICES = "/services/";
    private static final String BEARER = "Bearer ";
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString AT_MOST_ONCE = new HttpString("X-At-Most-Once");
    private static final HttpString DEADLINE = new HttpString("X-Deadline-Millis");
    private static final HttpString PRIORITY = new HttpString("X-Priority");
    private static final AttachmentKey<CallerAnswer> PRESENT = AttachmentKey.create(CallerAnswer.class);

    /** Up to how many tokens an answer counts as short. */
    private static final int SHORT_TOKENS = 64;

    /** The longest key, in characters; longer ones are refused. */
    private static final int MOST_KEY_CHARACTERS = 256;

    /** When a refused request may be tried again. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<FoldedState> state;
    private final RequestFlow flow;
    private final Supplier<String> ids;
    private final InstantSource clock;
    private final long deadlineMillis;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean leaving;

    /**
     * Makes a server's handler.
     *
     * @param state the configuration in force
     * @param flow takes the requests
     * @param ids gives ids to requests
     * @param clock tells the time
     * @param deadlineMillis the deadline of a request that states none
     */
    public CallerHandler(
            Supplier<FoldedState> state,
            RequestFlow flow,
            Supplier<String> ids,
            InstantSource clock,
            long deadlineMillis) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.flow = Objects.requireNonNull(flow, "flow is null");
        this.ids = Objects.requireNonNull(ids, "ids is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.deadlineMillis = deadlineMillis;
    }

    /** Takes no new requests from now on; those that are open go on. */
    public void leave() {
        leaving = true;
    }

    /**
     * Whether new requests are refused.
     *
     * @return true after {@link #leave}
     */
    public boolean leaving() {
        return leaving;
    }

    /**
     * The requests that are open.
     *
     * @return their number
     */
    public int open() {
        return open.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerAnswer answer = new CallerAnswer(exchange, ids.get());
        open.incrementAndGet();
        answer.whenOver(open::decrementAndGet);
        watch(exchange, answer);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> begin(exchange, body, answer)),
                        (same, error) ->
                                same.dispatch(SameThreadExecutor.INSTANCE, () -> answer.onEnd(notRead(error))));
    }

    /** Tells the connection's present answer when the connection closes; connections serve one request at a time. */
    private static void watch(HttpServerExchange exchange, CallerAnswer answer) {
        ServerConnection connection = exchange.getConnection();
        boolean first = connection.getAttachment(PRESENT) == null;
        connection.putAttachment(PRESENT, answer);
        if (first) {
            connection.addCloseListener(closed -> closed.getAttachment(PRESENT).connectionClosed());
        }
        exchange.addExchangeCompleteListener((same, next) -> {
            answer.over();
            next.proceed();
        });
    }

    private static Outcome notRead(IOException error) {
        return error instanceof RequestTooBigException
                ? refused(Step.READ, Reason.TOO_LARGE, "the body is larger than the limit")
                : refused(Step.READ, Reason.INVALID, "the body broke off: " + error.getMessage());
    }

    private void begin(HttpServerExchange exchange, byte[] body, CallerAnswer answer) {
        if (leaving) {
            answer.onEnd(
                    Outcome.notRun(Fault.of(Step.READ, "entry", Reason.LEAVING, "the entry is leaving"), RETRY_AFTER));
            return;
        }
        switch (request(exchange, body, answer)) {
            case Result.Failure<CallerRequest>(Fault fault) -> answer.onEnd(Outcome.notRun(fault, RETRY_AFTER));
            case Result.Success<CallerRequest>(CallerRequest request) -> {
                answer.about(request);
                answer.cancelWith(flow.begin(request, answer));
            }
        }
    }

    // -- reading requests

    private Result<CallerRequest> request(HttpServerExchange exchange, byte[] body, CallerAnswer answer) {
        return organisation(exchange).flatMap(organisation -> {
            String path = exchange.getRequestPath();
            if (path.equals(CHAT)) {
                return chat(exchange, body, answer, organisation);
            }
            if (path.startsWith(SERVICES) && path.length() > SERVICES.length()) {
                return service(exchange, body, answer, organisation, path.substring(SERVICES.length()));
            }
            return fail(Step.READ, Reason.NOT_FOUND, "nothing is at " + path);
        });
    }

    private Result<Organisation> organisation(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.startsWith(BEARER)) {
            return fail(Step.AUTHENTICATE, Reason.UNAUTHORISED, "the request has no bearer token");
        }
        FoldedState now = state.get();
        if (now.offset() < 0) {
            return fail(Step.AUTHENTICATE, Reason.NOT_READY, "the entry has read no configuration yet");
        }
        return now.organisationOf(Digest.of(header.substring(BEARER.length()).trim()))
                .map(Result::success)
                .orElseGet(() -> fail(Step.AUTHENTICATE, Reason.UNAUTHORISED, "no organisation has this token"));
    }

    private Result<CallerRequest> chat(
            HttpServerExchange exchange, byte[] body, CallerAnswer answer, Organisation organisation) {
        if (!exchange.getRequestMethod().toString().equals("POST")) {
            return fail(Step.READ, Reason.INVALID, CHAT + " takes POST");
        }
        JsonNode json;
        try {
            json = CanonicalJson.mapper().readTree(body);
        } catch (IOException e) {
            return fail(Step.READ, Reason.INVALID, "the body is not JSON");
        }
        if (!json.path("model").isTextual() || !json.path("messages").isArray()) {
            return fail(Step.READ, Reason.INVALID, "the body needs a text \"model\" and a list \"messages\"");
        }
        boolean few = json.path("max_tokens").asInt(Integer.MAX_VALUE) <= SHORT_TOKENS;
        StringBuilder prompt = new StringBuilder();
        json.path("messages")
                .forEach(message -> prompt.append(message.path("role").asText())
                        .append(message.path("content").asText()));
        return common(
                exchange,
                answer,
                new Body(
                        organisation,
                        json.path("model").asText(),
                        true,
                        CHAT,
                        body,
                        json.path("stream").asBoolean(false),
                        few,
                        PrefixIndex.blocks(prompt.toString())));
    }

    private Result<CallerRequest> service(
            HttpServerExchange exchange, byte[] body, CallerAnswer answer, Organisation organisation, String rest) {
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        return common(
                exchange, answer, new Body(organisation, name, false, path + query, body, false, true, List.of()));
    }

    /** What differs between models and services. */
    private record Body(
            Organisation organisation,
            String workload,
            boolean model,
            String path,
            byte[] bytes,
            boolean stream,
            boolean shortRequest,
            List<Long> prefix) {}

    private Result<CallerRequest> common(HttpServerExchange exchange, CallerAnswer answer, Body body) {
        HeaderMap headers = exchange.getRequestHeaders();
        Optional<String> key = Optional.ofNullable(headers.getFirst(IDEMPOTENCY_KEY));
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MOST_KEY_CHARACTERS)) {
            return fail(Step.READ, Reason.INVALID, "Idempotency-Key takes 1 to " + MOST_KEY_CHARACTERS + " characters");
        }
        Optional<Long> deadline = deadline(headers.getFirst(DEADLINE));
        if (deadline.isEmpty()) {
            return fail(Step.READ, Reason.INVALID, DEADLINE + " takes a whole number of milliseconds above 0");
        }
        String contentType = Optional.ofNullable(headers.getFirst(Headers.CONTENT_TYPE))
                .orElse(body.model() ? "application/json" : "application/octet-stream");
        boolean shortRequest = Optional.ofNullable(headers.getFirst(PRIORITY))
                .map("short"::equals)
                .orElse(body.shortRequest());
        return Result.success(new CallerRequest(
                answer.requestId(),
                body.organisation(),
                body.workload(),
                body.model(),
                exchange.getRequestMethod().toString(),
                body.path(),
                contentType,
                body.bytes(),
                body.stream(),
                "true".equals(headers.getFirst(AT_MOST_ONCE)),
                key,
                clock.millis() + deadline.get(),
                shortRequest ? 0 : 1,
                body.prefix()));
    }

    private Optional<Long> deadline(String header) {
        if (header == null) {
            return Optional.of(deadlineMillis);
        }
        try {
            long millis = Long.parseLong(header.trim());
            return millis > 0 ? Optional.of(Math.min(millis, Duration.ofHours(1).toMillis())) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static <T> Result<T> fail(Step step, Reason reason, String message) {
        return Result.failure(Fault.of(step, "caller", reason, message));
    }

    private static Outcome refused(Step step, Reason reason, String message) {
        return Outcome.notRun(Fault.of(step, "caller", reason, message), RETRY_AFTER);
    }
}
