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
import org.micabarrow.clock.MonotonicClock;
import org.xnio.IoUtils;

/**
 * Stands in for an endpoint on the users' platform. What it does with the next requests can be set; it keeps what it
 * received. Safe for any number of threads.
 */
public final class HostedEndpointStandin implements HttpHandler {

    private static final HttpString ATTEMPT = new HttpString("Attempt-Id");
    private static final HttpString SIGNATURE = new HttpString("Server-Seal");
    private static final HttpString NOT_RUN = new HttpString("Not-Executed");
    private static final HttpString WEIGHT_VERSION = new HttpString("Weight-Versions");
    private static final HttpString LEAVING = new HttpString("Server-Leaving");
    private static final HttpString LIMIT = new HttpString("Server-Limit");
    private static final int OK = 200;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;

    private static final String REST_SECONDS = "3";

    /** The length that the head of a cut answer promises, in bytes: more than it then sends. */
    private static final int CUT_LENGTH = 100;

    private final String id;
    private final Queue<Behaviour> behaviours;
    private final ConcurrentLinkedQueue<Received> received = new ConcurrentLinkedQueue<>();
    private final HeldRequests held = new HeldRequests();
    private final AtomicInteger misdirected = new AtomicInteger();
    private final HostedWeightsStandin weights;
    private volatile Crashing crashing = body -> false;
    private volatile boolean leaving;
    private volatile boolean leavingByReports;
    private volatile OptionalDouble limit = OptionalDouble.empty();

    /** How an endpoint ends. */
    public enum Ending {
        /** Its process ends; what was staged beside it stays. */
        CRASH,
        /** Its instance loses power; what was staged is lost too. */
        POWER_LOSS
    }

    /** Says which requests end the endpoint that begins to run them, and ends it. */
    @FunctionalInterface
    public interface Crashing {

        /**
         * Ends the endpoint if a request does so.
         *
         * @param body the request's body
         * @return whether the endpoint has ended, and answers nothing
         */
        boolean crashes(String body);
    }

    /** What the stand-in does with a request. */
    public enum Behaviour {
        /** Answers as it should. */
        ANSWER,
        /** Refuses, and says that the request has not run. */
        REFUSE,
        /** Refuses so, and asks for three seconds of rest. */
        REFUSE_AND_REST,
        /** Answers 503 without saying that the request has not run. */
        SILENT_REFUSE,
        /** Answers 500, signed. */
        FAIL,
        /** Closes the connection before any answer. */
        RESET,
        /** Closes the connection in the middle of the answer. */
        CUT,
        /** Gives the answer to another request. */
        OTHER_ANSWER,
        /** Gives an answer without its signature. */
        UNSIGNED,
        /** Says that another endpoint is here. */
        MISDIRECT,
        /** Never answers. */
        HANG
    }

    /**
     * Makes a stand-in.
     *
     * @param id the endpoint's id
     * @param model its model
     * @param version the weight version that it holds; 0 for none
     * @param behaviours what to do with the next requests; once empty, requests are answered as they should be
     */
    public HostedEndpointStandin(String id, String model, long version, Queue<Behaviour> behaviours) {
        this.id = id;
        this.behaviours = behaviours;
        this.weights = new HostedWeightsStandin(model, version, held::count);
    }

    /**
     * The requests received.
     *
     * @return the requests, in order
     */
    public List<Received> received() {
        return List.copyOf(received);
    }

    /** Says in all its answers from now on that it leaves. */
    public void leave() {
        leaving = true;
        leavingByReports = true;
    }

    /** Says so in its reports alone, as if no request had been sent to it since it does. */
    public void leaveByReportsOnly() {
        leavingByReports = true;
    }

    /**
     * Names a limit in all its answers to requests from now on.
     *
     * @param perSecond how many requests a second it takes
     */
    public void limit(double perSecond) {
        limit = OptionalDouble.of(perSecond);
    }

    /** Names no limit any more. */
    public void endLimit() {
        limit = OptionalDouble.empty();
    }

    /**
     * Looks at each request from now on whether the endpoint ends by it.
     *
     * @param by says so, and ends the endpoint
     */
    public void crash(Crashing by) {
        crashing = by;
    }

    /**
     * Tells from now on when it was started.
     *
     * @param startedMillis the Unix millisecond of its start
     */
    public void startedAt(long startedMillis) {
        weights.startedAt(startedMillis);
    }

    /**
     * Ends, and starts again under the same id; it holds nothing then.
     *
     * @param startedMillis the Unix millisecond of the new start
     * @param ending how it ended
     */
    public void startAgain(long startedMillis, Ending ending) {
        leaving = false;
        leavingByReports = false;
        endLimit();
        weights.startAgain(startedMillis, ending == Ending.CRASH);
    }

    /**
     * The weight version that it holds.
     *
     * @return the version; 0 for none
     */
    public long version() {
        return weights.version();
    }

    /**
     * The requests for its model that came while it held no weights, and were not run.
     *
     * @return their number
     */
    public int misdirected() {
        return misdirected.get();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((same, body) -> {
            boolean report = HostedWeightsStandin.takes(same.getRequestPath());
            if (report ? leavingByReports : leaving) {
                same.getResponseHeaders().put(LEAVING, "1");
            }
            if (report) {
                weights.answer(same, body);
            } else {
                limit.ifPresent(perSecond -> same.getResponseHeaders().put(LIMIT, String.valueOf(perSecond)));
                request(same, body);
            }
        });
    }

    private void request(HttpServerExchange exchange, byte[] body) {
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders()
                .forEach(values -> headers.put(values.getHeaderName().toString(), values.getFirst()));
        String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
        String text = new String(body, StandardCharsets.UTF_8);
        String method = exchange.getRequestMethod().toString();
        String target = exchange.getRequestURI() + query;
        long now = MonotonicClock.millis();
        boolean crashes = crashing.crashes(text);
        Optional<Behaviour> does = crashes ? Optional.empty() : Optional.of(behaviour(exchange));
        received.add(new Received(method, target, headers, text, now, does, leaving));
        if (crashes) {
            // Undertow answers what a handler leaves open.
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getResponseHeaders().put(new HttpString("Instance-Id"), id);
        String attempt = exchange.getRequestHeaders().getFirst(ATTEMPT);
        exchange.getResponseHeaders().put(ATTEMPT, attempt == null ? "-" : attempt);
        behave(exchange, does.get());
    }

    private Behaviour behaviour(HttpServerExchange exchange) {
        if (exchange.getRequestHeaders().contains("Model") && weights.version() == 0) {
            misdirected.incrementAndGet();
            return Behaviour.MISDIRECT;
        }
        return Optional.ofNullable(behaviours.poll()).orElse(Behaviour.ANSWER);
    }

    private void behave(HttpServerExchange exchange, Behaviour behaviour) {
        switch (behaviour) {
            case ANSWER -> good(exchange, false);
            case CUT -> good(exchange, true);
            case FAIL -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                StandinCalls.answer(exchange, FAILED, "failed".getBytes(StandardCharsets.UTF_8));
            }
            case REFUSE -> {
                exchange.getResponseHeaders().put(NOT_RUN, "1");
                StandinCalls.answer(exchange, UNAVAILABLE, new byte[0]);
            }
            case REFUSE_AND_REST -> {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, REST_SECONDS);
                behave(exchange, Behaviour.REFUSE);
            }
            case SILENT_REFUSE -> {
                exchange.getResponseHeaders().put(SIGNATURE, id);
                StandinCalls.answer(exchange, UNAVAILABLE, new byte[0]);
            }
            case RESET -> IoUtils.safeClose(exchange.getConnection());
            case OTHER_ANSWER -> {
                exchange.getResponseHeaders().put(ATTEMPT, "another");
                good(exchange, false);
            }
            case UNSIGNED -> StandinCalls.answer(exchange, OK, "plain".getBytes(StandardCharsets.UTF_8));
            case MISDIRECT -> StandinCalls.answer(exchange, MISDIRECTED, new byte[0]);
            case HANG -> held.hold(exchange);
        }
    }

    // -- good answers, whole or cut

    private void good(HttpServerExchange exchange, boolean cut) {
        exchange.getResponseHeaders().put(SIGNATURE, id);
        if (exchange.getRequestHeaders().contains("Model")) {
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(WEIGHT_VERSION, String.valueOf(weights.version()));
            String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
            StandinStreams.send(
                    exchange, StandinStreams.events(id, last == null ? 1 : Integer.parseInt(last) + 1, cut), cut);
        } else {
            byte[] body = "whole".getBytes(StandardCharsets.UTF_8);
            exchange.setResponseContentLength(cut ? CUT_LENGTH : body.length);
            StandinStreams.send(exchange, body, cut);
        }
    }

    /**
     * The requests that are held without an answer.
     *
     * @return their number
     */
    public int hanging() {
        return held.count();
    }
}
