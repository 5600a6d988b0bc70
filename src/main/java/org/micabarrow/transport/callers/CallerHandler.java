package org.micabarrow.transport.callers;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
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
import org.micabarrow.memory.HeldBytes;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Organisation;
import org.micabarrow.state.Result;
import org.micabarrow.transport.BearerToken;
import org.micabarrow.transport.DisconnectDetector;
import org.micabarrow.transport.RequestBody;

/**
 * Handles callers' HTTP requests: chat completions for models under {@code /v1/chat/completions}, and plain HTTP for
 * services under {@code /services/NAME/}.
 */
public final class CallerHandler implements HttpHandler {

    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String SERVICES_PREFIX = "/services/";
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString AT_MOST_ONCE = new HttpString("X-At-Most-Once");
    private static final HttpString DEADLINE = new HttpString("X-Deadline-Millis");
    private static final HttpString PRIORITY = new HttpString("X-Priority");
    private static final AttachmentKey<CallerResponse> CURRENT_RESPONSE = AttachmentKey.create(CallerResponse.class);

    /** The highest {@code max_tokens} with which a chat request without {@code X-Priority} counts as short. */
    private static final int MAX_SHORT_REQUEST_TOKENS = 64;

    /** The maximum length of an idempotency key, in characters; longer keys are refused. */
    private static final int MAX_KEY_CHARACTERS = 256;

    /** The delay after which a refused request may be retried. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<FoldedState> state;
    private final RequestFlow flow;
    private final Supplier<String> requestIds;
    private final InstantSource clock;
    private final long defaultDeadlineMillis;
    private final Memory memory;
    private final AtomicInteger openRequests = new AtomicInteger();
    private volatile boolean draining;

    /**
     * What is held for callers, each bounded by its limit.
     *
     * @param maxBodyBytes the greatest length of a request's body
     * @param bodies counts the bodies of requests
     * @param ahead counts what is read of requests that callers send before the answer to an earlier one
     */
    public record Memory(long maxBodyBytes, HeldBytes bodies, HeldBytes ahead) {

        /** Checks that no component is null. */
        public Memory {
            Objects.requireNonNull(bodies, "bodies is null");
            Objects.requireNonNull(ahead, "ahead is null");
        }
    }

    /**
     * Creates a handler.
     *
     * @param state supplies the active configuration
     * @param flow processes the requests
     * @param requestIds generates request ids
     * @param clock the time source
     * @param defaultDeadlineMillis the deadline of a request that states none, in milliseconds
     * @param memory counts what is held for callers
     */
    public CallerHandler(
            Supplier<FoldedState> state,
            RequestFlow flow,
            Supplier<String> requestIds,
            InstantSource clock,
            long defaultDeadlineMillis,
            Memory memory) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.flow = Objects.requireNonNull(flow, "flow is null");
        this.requestIds = Objects.requireNonNull(requestIds, "requestIds is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.defaultDeadlineMillis = defaultDeadlineMillis;
        this.memory = Objects.requireNonNull(memory, "memory is null");
    }

    /** Starts draining: new requests are refused, open requests continue. */
    public void startDraining() {
        draining = true;
    }

    /**
     * Returns whether new requests are refused.
     *
     * @return true after {@link #startDraining}
     */
    public boolean draining() {
        return draining;
    }

    /**
     * Returns the number of open requests.
     *
     * @return the number of requests whose response is not finished
     */
    public int openRequests() {
        return openRequests.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        CallerResponse response = new CallerResponse(exchange, requestIds.get());
        openRequests.incrementAndGet();
        response.onFinish(openRequests::decrementAndGet);
        observeConnection(exchange, response);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receiveBody(exchange, response));
    }

    private void receiveBody(HttpServerExchange exchange, CallerResponse response) {
        if (draining) {
            response.onEnd(leaving());
            return;
        }
        switch (authenticate(exchange)) {
            case Result.Failure<Organisation>(Fault fault) -> response.onEnd(Outcome.notRun(fault, RETRY_AFTER));
            case Result.Success<Organisation> known ->
                RequestBody.receive(
                        exchange,
                        memory.maxBodyBytes(),
                        memory.bodies(),
                        received -> handleBody(exchange, received, response));
        }
    }

    private void handleBody(HttpServerExchange exchange, RequestBody.Received received, CallerResponse response) {
        switch (received) {
            case RequestBody.Received.Whole(byte[] bytes) -> startRequest(exchange, bytes, response);
            case RequestBody.Received.TooLong(long maxBytes) ->
                response.onEnd(refused(Reason.TOO_LARGE, "the body is longer than the " + maxBytes + " bytes allowed"));
            case RequestBody.Received.NoRoom(long bodyBytes) ->
                response.onEnd(Outcome.notRun(
                        Fault.of(
                                Step.READ,
                                "entry",
                                Reason.OVERLOADED,
                                "the entry has no memory for a body of " + bodyBytes + " bytes now"),
                        RETRY_AFTER));
            case RequestBody.Received.BrokenOff(IOException cause) ->
                response.onEnd(refused(Reason.INVALID, "the body broke off: " + cause.getMessage()));
        }
    }

    /**
     * Notifies the current response when its connection closes. A connection serves one request at a time, so one close
     * listener for each connection suffices.
     */
    private static void observeConnection(HttpServerExchange exchange, CallerResponse response) {
        ServerConnection connection = exchange.getConnection();
        boolean firstRequest = connection.getAttachment(CURRENT_RESPONSE) == null;
        connection.putAttachment(CURRENT_RESPONSE, response);
        if (firstRequest) {
            connection.addCloseListener(
                    closed -> closed.getAttachment(CURRENT_RESPONSE).onConnectionClosed());
        }
        exchange.addExchangeCompleteListener((current, next) -> {
            response.finish();
            next.proceed();
        });
    }

    private void startRequest(HttpServerExchange exchange, byte[] body, CallerResponse response) {
        if (draining) {
            response.onEnd(leaving());
            return;
        }
        switch (parseRequest(exchange, body, response)) {
            case Result.Failure<CallerRequest>(Fault fault) -> response.onEnd(Outcome.notRun(fault, RETRY_AFTER));
            case Result.Success<CallerRequest>(CallerRequest request) -> {
                response.setRequest(request);
                beginRequest(exchange, request, response);
            }
        }
    }

    /** Begins a request unless its caller has left: one that was sent ahead may be reached only then. */
    private void beginRequest(HttpServerExchange exchange, CallerRequest request, CallerResponse response) {
        DisconnectDetector.start(exchange, memory.ahead(), response::onConnectionClosed);
        if (response.connectionClosed()) {
            response.onEnd(Outcome.notRun(
                    Fault.of(Step.READ, "caller", Reason.CANCELLED, "the caller has gone"), RETRY_AFTER));
        } else {
            response.setCancelAction(flow.begin(request, new ThreadedResponse(exchange.getIoThread(), response)));
        }
    }

    // -- parsing of requests

    private Result<CallerRequest> parseRequest(HttpServerExchange exchange, byte[] body, CallerResponse response) {
        return authenticate(exchange).flatMap(organisation -> {
            String path = exchange.getRequestPath();
            if (path.equals(CHAT_PATH)) {
                return parseChatRequest(exchange, body, response, organisation);
            }
            if (path.startsWith(SERVICES_PREFIX) && path.length() > SERVICES_PREFIX.length()) {
                return parseServiceRequest(
                        exchange, body, response, organisation, path.substring(SERVICES_PREFIX.length()));
            }
            return fail(Step.READ, Reason.NOT_FOUND, "nothing is at " + path);
        });
    }

    private Result<Organisation> authenticate(HttpServerExchange exchange) {
        Optional<String> token = BearerToken.of(exchange.getRequestHeaders());
        if (token.isEmpty()) {
            return fail(Step.AUTHENTICATE, Reason.UNAUTHORISED, "the request has no bearer token");
        }
        FoldedState current = state.get();
        if (current.offset() < 0) {
            return fail(Step.AUTHENTICATE, Reason.NOT_READY, "the entry has read no configuration yet");
        }
        return current.organisationOf(Digest.of(token.get()))
                .map(Result::success)
                .orElseGet(() -> fail(Step.AUTHENTICATE, Reason.UNAUTHORISED, "no organisation has this token"));
    }

    private Result<CallerRequest> parseChatRequest(
            HttpServerExchange exchange, byte[] body, CallerResponse response, Organisation organisation) {
        if (!exchange.getRequestMethod().toString().equals("POST")) {
            return fail(Step.READ, Reason.INVALID, CHAT_PATH + " takes POST");
        }
        Optional<ChatBody> chat;
        try {
            chat = ChatBody.read(body);
        } catch (IOException e) {
            return fail(Step.READ, Reason.INVALID, "the body is not JSON");
        }
        if (chat.isEmpty()) {
            return fail(Step.READ, Reason.INVALID, "the body needs a text \"model\" and a list \"messages\"");
        }
        return buildRequest(
                exchange,
                response,
                new ParsedBody(
                        organisation,
                        chat.get().model(),
                        true,
                        CHAT_PATH,
                        body,
                        chat.get().stream(),
                        chat.get().maxTokens() <= MAX_SHORT_REQUEST_TOKENS,
                        PrefixIndex.blocks(chat.get().prompt())));
    }

    private Result<CallerRequest> parseServiceRequest(
            HttpServerExchange exchange,
            byte[] body,
            CallerResponse response,
            Organisation organisation,
            String target) {
        int slash = target.indexOf('/');
        String name = slash < 0 ? target : target.substring(0, slash);
        String path = slash < 0 ? "/" : target.substring(slash);
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        return buildRequest(
                exchange,
                response,
                new ParsedBody(organisation, name, false, path + query, body, false, true, List.of()));
    }

    /** The parts of a request that are read differently for models and services. */
    private record ParsedBody(
            Organisation organisation,
            String workload,
            boolean model,
            String path,
            byte[] bytes,
            boolean stream,
            boolean shortRequest,
            List<Long> prefixBlocks) {}

    private Result<CallerRequest> buildRequest(HttpServerExchange exchange, CallerResponse response, ParsedBody body) {
        HeaderMap headers = exchange.getRequestHeaders();
        Optional<String> key = Optional.ofNullable(headers.getFirst(IDEMPOTENCY_KEY));
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_CHARACTERS)) {
            return fail(Step.READ, Reason.INVALID, "Idempotency-Key takes 1 to " + MAX_KEY_CHARACTERS + " characters");
        }
        Optional<Long> deadlineAfterMillis = parseDeadline(headers.getFirst(DEADLINE));
        if (deadlineAfterMillis.isEmpty()) {
            return fail(Step.READ, Reason.INVALID, DEADLINE + " takes a whole number of milliseconds above 0");
        }
        String contentType = Optional.ofNullable(headers.getFirst(Headers.CONTENT_TYPE))
                .orElse(body.model() ? "application/json" : "application/octet-stream");
        boolean shortRequest = Optional.ofNullable(headers.getFirst(PRIORITY))
                .map("short"::equals)
                .orElse(body.shortRequest());
        return Result.success(new CallerRequest(
                response.requestId(),
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
                clock.millis() + deadlineAfterMillis.get(),
                shortRequest ? 0 : 1,
                body.prefixBlocks()));
    }

    private Optional<Long> parseDeadline(String header) {
        if (header == null) {
            return Optional.of(defaultDeadlineMillis);
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

    private static Outcome refused(Reason reason, String message) {
        return Outcome.notRun(Fault.of(Step.READ, "caller", reason, message), RETRY_AFTER);
    }

    private static Outcome leaving() {
        return Outcome.notRun(Fault.of(Step.READ, "entry", Reason.LEAVING, "the entry is leaving"), RETRY_AFTER);
    }
}
