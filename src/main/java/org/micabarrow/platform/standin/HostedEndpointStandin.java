package org.micabarrow.platform.standin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.micabarrow.clock.MonotonicClock;
import org.xnio.IoUtils;

/**
 * Simulated endpoint on the users' platform. Its behaviour for the next requests can be configured, and it records the
 * requests received. Thread-safe.
 */
public final class HostedEndpointStandin implements HttpHandler {

    private static final String PROMPT_PREFIX = "Prompt-Prefix";
    private static final HttpString ATTEMPT = new HttpString("Attempt-Id");
    private static final HttpString SIGNATURE = new HttpString("Server-Seal");
    private static final HttpString NOT_RUN = new HttpString("Not-Executed");
    private static final HttpString WEIGHT_VERSION = new HttpString("Weight-Versions");
    private static final HttpString DRAINING = new HttpString("Server-Leaving");
    private static final HttpString RATE_LIMIT = new HttpString("Server-Limit");
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;

    private static final String RETRY_AFTER_SECONDS = "3";

    /** Content length announced for a truncated answer, in bytes; larger than the body sent. */
    private static final int TRUNCATED_CONTENT_LENGTH = 100;

    private final String id;
    private final Queue<Behaviour> behaviours;
    private final ConcurrentLinkedQueue<ReceivedRequest> received = new ConcurrentLinkedQueue<>();
    private final UnansweredRequests unanswered = new UnansweredRequests();
    private final AtomicInteger misdirectedCount = new AtomicInteger();
    private final HostedWeightsStandin weights;
    private volatile CrashTrigger crashTrigger = (body, promptParts) -> false;
    private volatile boolean draining;
    private volatile boolean drainingInReports;
    private volatile OptionalDouble rateLimit = OptionalDouble.empty();

    /** How an endpoint shuts down. */
    public enum Shutdown {
        /** The process crashes; staged chunks survive. */
        CRASH,
        /** The instance loses power; staged chunks are lost. */
        POWER_LOSS
    }

    /** Crashes the endpoint when it starts to execute certain requests. */
    @FunctionalInterface
    public interface CrashTrigger {

        /**
         * Crashes the endpoint if the request triggers a crash.
         *
         * @param body the request's body
         * @param promptParts the ids of the parts of its prompt, in order
         * @return whether the endpoint crashed and sends no answer
         */
        boolean crashIfTriggered(String body, List<String> promptParts);
    }

    /** How the stand-in responds to a request. */
    public enum Behaviour {
        /** Sends the expected answer. */
        ANSWER,
        /** Refuses the request and states that it was not executed. */
        REFUSE,
        /** Refuses likewise, with a Retry-After of three seconds. */
        REFUSE_WITH_RETRY_AFTER,
        /** Answers 503 without stating that the request was not executed. */
        UNAVAILABLE,
        /** Answers 500 with a signature, before anything that could crash it. */
        FAIL,
        /** Closes the connection without answering. */
        RESET,
        /** Closes the connection in the middle of the answer body. */
        TRUNCATE,
        /** Answers with the attempt id of another request. */
        WRONG_ATTEMPT,
        /** Answers without a signature. */
        UNSIGNED,
        /** Answers 421, as if another endpoint had this address. */
        MISDIRECT,
        /** Never answers. */
        NEVER_ANSWER
    }

    /**
     * Creates a stand-in.
     *
     * @param id the endpoint's id
     * @param model its model
     * @param version the loaded weight version; 0 for none
     * @param behaviours the behaviours for the next requests; when empty, expected answers are sent
     */
    public HostedEndpointStandin(String id, String model, long version, Queue<Behaviour> behaviours) {
        this.id = id;
        this.behaviours = behaviours;
        this.weights = new HostedWeightsStandin(model, version, unanswered::count);
    }

    /**
     * Returns the requests received so far.
     *
     * @return the requests in order of arrival
     */
    public List<ReceivedRequest> received() {
        return List.copyOf(received);
    }

    /** Announces in all further answers and reports that the endpoint is draining. */
    public void startDraining() {
        draining = true;
        drainingInReports = true;
    }

    /** Announces draining only in reports, as seen by an entry that has sent no request since. */
    public void startDrainingInReportsOnly() {
        drainingInReports = true;
    }

    /**
     * States a rate limit in all further answers to requests.
     *
     * @param requestsPerSecond the limit, in requests per second
     */
    public void setRateLimit(double requestsPerSecond) {
        rateLimit = OptionalDouble.of(requestsPerSecond);
    }

    /** Stops stating a rate limit. */
    public void clearRateLimit() {
        rateLimit = OptionalDouble.empty();
    }

    /**
     * Sets a trigger that is checked for each further request.
     *
     * @param trigger crashes the endpoint for certain requests
     */
    public void setCrashTrigger(CrashTrigger trigger) {
        crashTrigger = trigger;
    }

    /**
     * Sets the start time stated in reports.
     *
     * @param startedMillis the start time, in Unix milliseconds
     */
    public void setStartedMillis(long startedMillis) {
        weights.setStartedMillis(startedMillis);
    }

    /**
     * Restarts the endpoint under the same id, without loaded weights.
     *
     * @param startedMillis the new start time, in Unix milliseconds
     * @param shutdown how it was shut down
     */
    public void restart(long startedMillis, Shutdown shutdown) {
        draining = false;
        drainingInReports = false;
        clearRateLimit();
        weights.restart(startedMillis, shutdown == Shutdown.CRASH);
    }

    /**
     * Returns the loaded weight version.
     *
     * @return the version; 0 for none
     */
    public long version() {
        return weights.version();
    }

    /**
     * Counts the model requests that arrived while no weights were loaded and were not executed.
     *
     * @return their number
     */
    public int misdirectedCount() {
        return misdirectedCount.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
            boolean report = HostedWeightsStandin.handles(same.getRequestPath());
            if (report ? drainingInReports : draining) {
                same.getResponseHeaders().put(DRAINING, "1");
            }
            if (report) {
                weights.answer(same, body);
            } else {
                rateLimit.ifPresent(perSecond -> same.getResponseHeaders().put(RATE_LIMIT, String.valueOf(perSecond)));
                handleClientRequest(same, body);
            }
        });
    }

    private void handleClientRequest(HttpServerExchange exchange, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders()
                .forEach(values -> headers.put(values.getHeaderName().toString(), values.getFirst()));
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        String text = new String(body, StandardCharsets.UTF_8);
        String method = exchange.getRequestMethod().toString();
        String target = exchange.getRequestURI() + query;
        long now = MonotonicClock.millis();
        boolean failsEarly = behaviours.peek() == Behaviour.FAIL;
        boolean crashes = !failsEarly && crashTrigger.crashIfTriggered(text, promptParts(headers));
        Optional<Behaviour> behaviour = crashes ? Optional.empty() : Optional.of(nextBehaviour(exchange));
        received.add(new ReceivedRequest(method, target, headers, text, now, behaviour, draining));
        if (crashes) {
            // Undertow sends a response for every exchange that a handler leaves open, so the connection is closed
            // instead.
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getResponseHeaders().put(new HttpString("Instance-Id"), id);
        String attempt = exchange.getRequestHeaders().getFirst(ATTEMPT);
        exchange.getResponseHeaders().put(ATTEMPT, attempt == null ? "-" : attempt);
        respond(exchange, behaviour.get());
    }

    private static List<String> promptParts(Map<String, String> headers) {
        String listed = headers.getOrDefault(PROMPT_PREFIX, "");
        return Stream.of(listed.split(",")).map(part -> part.split(":")[0]).toList();
    }

    private Behaviour nextBehaviour(HttpServerExchange exchange) {
        if (exchange.getRequestHeaders().contains("Model") && weights.version() == 0) {
            misdirectedCount.incrementAndGet();
            return Behaviour.MISDIRECT;
        }
        return Optional.ofNullable(behaviours.poll()).orElse(Behaviour.ANSWER);
    }

    private void respond(HttpServerExchange exchange, Behaviour behaviour) {
        switch (behaviour) {
            case ANSWER -> sendExpectedAnswer(exchange, false);
            case TRUNCATE -> sendExpectedAnswer(exchange, true);
            case FAIL -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                StandinCalls.answer(exchange, INTERNAL_ERROR, "failed".getBytes(StandardCharsets.UTF_8));
            }
            case REFUSE -> {
                exchange.getResponseHeaders().put(NOT_RUN, "1");
                StandinCalls.answer(exchange, UNAVAILABLE, new byte[0]);
            }
            case REFUSE_WITH_RETRY_AFTER -> {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
                respond(exchange, Behaviour.REFUSE);
            }
            case UNAVAILABLE -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                StandinCalls.answer(exchange, UNAVAILABLE, new byte[0]);
            }
            case RESET -> IoUtils.safeClose(exchange.getConnection());
            case WRONG_ATTEMPT -> {
                exchange.getResponseHeaders().put(ATTEMPT, "another");
                sendExpectedAnswer(exchange, false);
            }
            case UNSIGNED -> StandinCalls.answer(exchange, OK, "plain".getBytes(StandardCharsets.UTF_8));
            case MISDIRECT -> StandinCalls.answer(exchange, MISDIRECTED, new byte[0]);
            case NEVER_ANSWER -> unanswered.hold(exchange);
        }
    }

    // -- expected answers, complete or truncated

    private void sendExpectedAnswer(HttpServerExchange exchange, boolean truncated) {
        exchange.getResponseHeaders().put(SIGNATURE, id);
        if (exchange.getRequestHeaders().contains("Model")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(WEIGHT_VERSION, String.valueOf(weights.version()));
            String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
            StandinStreams.send(
                    exchange,
                    StandinStreams.events(id, lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1, truncated),
                    truncated);
        } else {
            byte[] body = "whole".getBytes(StandardCharsets.UTF_8);
            exchange.setResponseContentLength(truncated ? TRUNCATED_CONTENT_LENGTH : body.length);
            StandinStreams.send(exchange, body, truncated);
        }
    }

    /**
     * Counts the requests kept open without an answer.
     *
     * @return their number
     */
    public int unansweredCount() {
        return unanswered.count();
    }
}
