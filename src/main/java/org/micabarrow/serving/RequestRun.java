package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.micabarrow.attempts.AttemptEnd;
import org.micabarrow.attempts.AttemptPolicy;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.routing.EndpointChoice.Choice;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.serving.EndpointProtocol.AnswerHead;
import org.micabarrow.serving.EndpointProtocol.Sending;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCaller;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** One request from its arrival to its answer. All of it runs on the one thread for traffic. */
final class RequestRun implements OpenRequests.Open {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /**
     * How long an endpoint may take to accept a connection, in milliseconds. The longest way between regions takes a few;
     * an opening packet that was dropped is sent again only after a second.
     */
    private static final long CONNECT_MILLIS = 250;

    /** Answers up to this size are held until they are whole, so that one that breaks off can be asked for again. */
    private static final int HELD_BYTES = 256 * 1024;

    private static final int SERVER_ERROR = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, UNAVAILABLE);

    private final ServingParts parts;
    private final ClientRequest request;
    private final ClientAnswer answer;
    private final XnioIoThread thread;
    private final long beganMillis;
    private final Set<String> tried = new HashSet<>();
    private final EventSplitter events = new EventSplitter();
    private boolean mayHaveRun;
    private boolean finished;
    private boolean eventsPassed;
    private Optional<Attempt> current = Optional.empty();
    private Optional<XnioExecutor.Key> deadline = Optional.empty();

    RequestRun(ServingParts parts, ClientRequest request, ClientAnswer answer, XnioIoThread thread) {
        this.parts = parts;
        this.request = request;
        this.answer = answer;
        this.thread = thread;
        this.beganMillis = parts.nowMillis();
    }

    void begin() {
        long held =
                Math.min(request.deadlineMillis() - beganMillis, request.route().timeoutMillis());
        deadline = Optional.of(thread.executeAfter(this::expired, Math.max(1, held), TimeUnit.MILLISECONDS));
        parts.open().add(this);
        next("first");
    }

    private long millisLeft() {
        long now = parts.nowMillis();
        return Math.min(
                request.deadlineMillis() - now, beganMillis + request.route().timeoutMillis() - now);
    }

    // -- sending

    private void next(String why) {
        switch (parts.choose(request, tried)) {
            case Choice.Send(EndpointEntry endpoint, double predicted) -> send(endpoint, predicted, why);
            case Choice.Full(int endpoints) -> cannotSend("all " + endpoints + " endpoints are full");
            case Choice.None ignored -> cannotSend("no endpoint can serve");
        }
    }

    private void cannotSend(String why) {
        if (answer.begun()) {
            broken(why);
        } else if (mayHaveRun) {
            unknown(why);
        } else {
            notRun(why);
        }
    }

    private void send(EndpointEntry endpoint, double predicted, String why) {
        tried.add(endpoint.id());
        if (tried.size() > 1) {
            parts.metrics().repeats.inc();
        }
        LOG.info(
                "event=sent request={} endpoint={} hall={} attempt={} why=\"{}\" predictedMs={} leftMs={} {}",
                request.id(),
                endpoint.id(),
                endpoint.dataHall(),
                tried.size(),
                why,
                Math.round(predicted),
                millisLeft(),
                parts.viewAge());
        Attempt attempt = new Attempt(endpoint);
        current = Optional.of(attempt);
        attempt.begin();
    }

    private void again(AttemptEnd end, String why) {
        mayHaveRun |= !end.surelyNotRun();
        if (answer.begun() && !mayGoOn()) {
            broken(why);
            return;
        }
        AttemptPolicy.Progress progress = new AttemptPolicy.Progress(tried.size(), mayHaveRun, millisLeft());
        if (AttemptPolicy.again(request.route(), progress, parts.budget()::tryRetry)) {
            next(why);
        } else {
            cannotSend(why);
        }
    }

    /** Whether an answer that has begun can go on at another endpoint. */
    private boolean mayGoOn() {
        return request.route().kind() == RequestKind.RESUMABLE_STREAM
                && (!eventsPassed || events.lastId().isPresent());
    }

    @Override
    public void moveIfSilent() {
        current.ifPresent(Attempt::moveIfSilent);
    }

    // -- endings

    private void expired() {
        if (finished) {
            return;
        }
        current.ifPresent(Attempt::abandon);
        if (answer.begun()) {
            broken("time is up");
        } else if (tried.isEmpty()) {
            notRun("time is up");
        } else {
            own(GATEWAY_TIMEOUT, "unknown", "time is up", 0);
        }
    }

    void clientGone() {
        if (finished) {
            return;
        }
        current.ifPresent(Attempt::abandon);
        parts.metrics().clientGone.inc();
        finish("client_gone", "the client closed its connection");
        answer.gone();
    }

    private void notRun(String why) {
        parts.metrics().notRun.inc();
        own(UNAVAILABLE, "not_run", why, parts.comeBackMillis(request));
    }

    private void unknown(String why) {
        parts.metrics().unknown.inc();
        own(BAD_GATEWAY, "unknown", why, 0);
    }

    private void own(int status, String outcome, String why, long retryAfterMillis) {
        finish(outcome, why);
        answer.own(status, why, retryAfterMillis);
    }

    private void broken(String why) {
        parts.metrics().broken.inc();
        finish("broken", why);
        answer.breakOff();
    }

    private void finish(String outcome, String why) {
        finished = true;
        parts.open().remove(this);
        current = Optional.empty();
        deadline.ifPresent(XnioExecutor.Key::remove);
        LOG.info(
                "event=finished request={} route={} organisation={} outcome={} attempts={} ms={} why=\"{}\"",
                request.id(),
                request.route().name(),
                request.organisation().orElse("-"),
                outcome,
                tried.size(),
                parts.nowMillis() - beganMillis,
                why);
    }

    /** One sending to one endpoint. */
    private final class Attempt implements HttpCaller.Listener {

        private final EndpointEntry endpoint;
        private final EndpointLoad load;
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private Optional<AnswerHead> head = Optional.empty();
        private Optional<XnioExecutor.Key> connectTimer = Optional.empty();
        private Runnable cancel = () -> {};
        private boolean over;
        private boolean sending;
        private boolean promptRead;
        private boolean passing;

        private Attempt(EndpointEntry endpoint) {
            this.endpoint = endpoint;
            this.load = parts.load(endpoint.id());
        }

        private void begin() {
            load.began(request.promptTokens());
            Sending sending = new Sending(
                    endpoint, Math.max(1, millisLeft()), parts.expectedVersion(request, endpoint), events.lastId());
            connectTimer = Optional.of(thread.executeAfter(this::notConnected, CONNECT_MILLIS, TimeUnit.MILLISECONDS));
            cancel = parts.caller().send(parts.protocol().call(request, sending), this);
        }

        private void release() {
            over = true;
            connectTimer.ifPresent(XnioExecutor.Key::remove);
            promptDone();
            load.ended();
        }

        private void promptDone() {
            if (!promptRead) {
                promptRead = true;
                load.promptRead(request.promptTokens());
            }
        }

        /** Stops the attempt for good; nothing that its connection does counts any more. */
        private void abandon() {
            if (!over) {
                release();
                cancel.run();
            }
        }

        private void failed(AttemptEnd end, String why) {
            abandon();
            logFailed(end, why);
            again(end, why);
        }

        private void logFailed(AttemptEnd end, String why) {
            LOG.info(
                    "event=attempt_failed request={} endpoint={} end={} why=\"{}\"",
                    request.id(),
                    endpoint.id(),
                    end,
                    why);
        }

        /**
         * Goes on at another endpoint if nothing is heard of this one any more and the request may run twice. Otherwise it
         * stays, since the answer may still come.
         */
        private void moveIfSilent() {
            boolean stays = over || !parts.silent(endpoint) || answer.begun() && !mayGoOn();
            if (!stays && mayTakeAnother()) {
                events.dropRemainder();
                moveOn(AttemptEnd.UNKNOWN, "nothing is heard of the endpoint or its agent");
            }
        }

        private void moveOn(AttemptEnd end, String why) {
            abandon();
            mayHaveRun = true;
            logFailed(end, why);
            next(why);
        }

        /** A timer that was due when it was removed runs all the same, so it must look whether it still counts. */
        private void notConnected() {
            if (over || sending) {
                return;
            }
            load.broke(parts.nowMillis());
            failed(AttemptEnd.NOT_RUN, "no connection within " + CONNECT_MILLIS + " ms");
        }

        // -- the answer

        @Override
        public void onSending() {
            sending = true;
            connectTimer.ifPresent(XnioExecutor.Key::remove);
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            if (over) {
                return;
            }
            load.heard(parts.nowMillis());
            AnswerHead read = parts.protocol().head(request, status, headers);
            read.weightVersion().ifPresent(load::answeredBy);
            if (read.notRun()) {
                failed(AttemptEnd.NOT_RUN, "the endpoint refused with " + status);
            } else if (read.misdirected()) {
                load.misdirected(parts.nowMillis());
                failed(AttemptEnd.MISDIRECTED, "another endpoint or version is at " + endpoint.address());
            } else if (!read.own() || !read.signed()) {
                load.broke(parts.nowMillis());
                failed(AttemptEnd.UNKNOWN, "what came is no answer to this request");
            } else {
                answered(read);
            }
        }

        private void answered(AnswerHead read) {
            boolean error = read.status() >= SERVER_ERROR;
            if (error) {
                load.failed(parts.nowMillis());
            } else {
                load.succeeded();
                parts.metrics().firstByte.update(parts.nowMillis() - beganMillis, TimeUnit.MILLISECONDS);
            }
            boolean mustNotPass = PROMISES_NOT_RUN.contains(read.status())
                    && !request.route().kind().repeatable();
            if (mustNotPass || answer.begun() && error) {
                failed(AttemptEnd.UNKNOWN, "the endpoint answered " + read.status() + " without saying it has not run");
            } else if (error && mayTakeAnother()) {
                moveOn(AttemptEnd.FAILED, "the endpoint failed with " + read.status());
            } else {
                head = Optional.of(read);
                passing = request.route().kind().stream() && !error;
                if (passing && !answer.begun()) {
                    answer.head(read);
                }
            }
        }

        /** Whether another endpoint may run the request although this one has, and is there; takes one repeat if so. */
        private boolean mayTakeAnother() {
            AttemptPolicy.Progress progress = new AttemptPolicy.Progress(tried.size(), true, millisLeft());
            return request.route().kind().repeatable()
                    && parts.otherEndpoint(request, tried)
                    && AttemptPolicy.again(request.route(), progress, parts.budget()::tryRetry);
        }

        @Override
        public void onData(byte[] data, Runnable more) {
            if (over) {
                return;
            }
            load.heard(parts.nowMillis());
            // The head may come as soon as the endpoint has taken the request; its prompt is read with the first event.
            promptDone();
            if (!passing) {
                hold(data, more);
                return;
            }
            byte[] whole = request.route().kind().stream() ? events.whole(data) : data;
            if (whole.length == 0) {
                more.run();
            } else {
                eventsPassed = true;
                answer.part(whole, more, RequestRun.this::clientGone);
            }
        }

        private void hold(byte[] data, Runnable more) {
            held.writeBytes(data);
            if (held.size() <= HELD_BYTES) {
                more.run();
                return;
            }
            passing = true;
            answer.head(head.orElseThrow());
            byte[] sofar = held.toByteArray();
            held.reset();
            answer.part(sofar, more, RequestRun.this::clientGone);
        }

        @Override
        public void onComplete() {
            if (over) {
                return;
            }
            release();
            if (!passing) {
                finishAnswered();
                answer.whole(head.orElseThrow(), held.toByteArray());
                return;
            }
            byte[] rest = events.remainder();
            finishAnswered();
            if (rest.length == 0) {
                answer.end();
            } else {
                answer.part(rest, answer::end, answer::gone);
            }
        }

        private void finishAnswered() {
            parts.metrics().answered.inc();
            finish(
                    "answered",
                    "endpoint=" + endpoint.id() + " hall=" + endpoint.dataHall() + " status="
                            + head.map(AnswerHead::status).orElse(0) + " weights="
                            + head.flatMap(AnswerHead::weightVersion)
                                    .map(String::valueOf)
                                    .orElse("-"));
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            if (over) {
                return;
            }
            load.broke(parts.nowMillis());
            events.dropRemainder();
            failed(sent ? AttemptEnd.UNKNOWN : AttemptEnd.NOT_RUN, fault.message());
        }
    }
}
