package org.micabarrow.serving;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.micabarrow.attempts.AttemptEnd;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.serving.EndpointProtocol.AnswerHead;
import org.micabarrow.serving.EndpointProtocol.Sending;
import org.micabarrow.state.Fault;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpCaller;
import org.micabarrow.views.View;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;

/**
 * One sending of a request to one endpoint: what comes back is counted, judged, and held or passed on. What follows from
 * an attempt that ends without an answer is for the run to decide. All of it runs on the one thread for traffic.
 */
final class Attempt implements HttpCaller.Listener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    private static final int SERVER_ERROR = 500;

    /** By these a client may take a request for not run; from an endpoint that does not say so itself they prove nothing. */
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

    private final ServedRequest run;
    private final ServingParts parts;
    private final ClientRequest request;
    private final ClientAnswer answer;
    private final EventSplitter events;
    private final EndpointEntry endpoint;
    private final EndpointLoad load;
    private final AnswerRelay relay;
    private Optional<XnioExecutor.Key> connectTimer = Optional.empty();
    private Optional<XnioExecutor.Key> beginTimer = Optional.empty();
    private Runnable cancel = () -> {};
    private boolean over;
    private boolean sending;
    private boolean promptRead;
    private long beganMillis;

    Attempt(ServedRequest run, EndpointEntry endpoint) {
        this.run = run;
        this.parts = run.parts();
        this.request = run.request();
        this.answer = run.answer();
        this.events = run.events();
        this.endpoint = endpoint;
        this.relay = new AnswerRelay(run);
        this.load = parts.load(endpoint);
    }

    void begin() {
        beganMillis = parts.nowMillis();
        load.began(request.promptTokens());
        connectTimer = Optional.of(after(LastLook.CONNECT_MILLIS, this::notConnected));
        limitWaiting();
        cancel = parts.caller().send(call(), this);
    }

    /** The request as it is to be sent now. */
    private HttpCall call() {
        Sending sending = new Sending(
                endpoint,
                Math.max(1, run.millisLeft()),
                parts.versions().expected(request, endpoint),
                events.lastId(),
                run.late());
        return parts.protocol().call(request, sending);
    }

    /** Sees to it that the request is taken back when an older weight version may begin nothing any more. */
    private void limitWaiting() {
        parts.versions().newerNamed(request, endpoint).ifPresent(newer -> {
            long millis = Math.max(1, parts.versions().millisToBegin(newer));
            beginTimer = Optional.of(after(millis, () -> notBegun(newer)));
        });
    }

    private XnioExecutor.Key after(long millis, Runnable step) {
        return run.thread().executeAfter(step, millis, TimeUnit.MILLISECONDS);
    }

    private void release() {
        over = true;
        connectTimer.ifPresent(XnioExecutor.Key::remove);
        beginTimer.ifPresent(XnioExecutor.Key::remove);
        promptDone();
        load.ended();
        parts.line().roomMayBe();
    }

    private void promptDone() {
        if (!promptRead) {
            promptRead = true;
            load.promptRead(request.promptTokens());
            parts.line().roomMayBe();
        }
    }

    /** Whether the endpoint may run the request, now or later: it has left, and nothing has ended the attempt. */
    boolean mayRun() {
        return sending && !over;
    }

    /** Stops the attempt for good, because nobody wants its answer any more. */
    void abandon(String why) {
        if (!over) {
            LOG.info(
                    "event=taken_back request={} endpoint={} {} why=\"{}\"",
                    request.id(),
                    endpoint.id(),
                    progress(),
                    why);
            stop();
        }
    }

    /** Nothing that the attempt's connection does counts any more. */
    private void stop() {
        release();
        cancel.run();
    }

    private void failed(AttemptEnd end, String why) {
        logFailed(end, why);
        stop();
        run.again(end, why);
    }

    private void logFailed(AttemptEnd end, String why) {
        LOG.info(
                "event=attempt_failed request={} endpoint={} end={} {} why=\"{}\"",
                request.id(),
                endpoint.id(),
                end,
                progress(),
                why);
    }

    /** How far the request came at the endpoint, for the log: whether a head of an answer came, and a part of it. */
    private String progress() {
        return "afterMs=" + (parts.nowMillis() - beganMillis) + " taken=" + relay.begun() + " begun=" + promptRead;
    }

    /**
     * Looks whether the request is still well where it was sent, by what is known now. A version may have been named since; and
     * while nothing is heard of the endpoint, the request is taken back if it waits there in vain, and goes on at another
     * endpoint if it may run twice. Otherwise it stays, since the answer may still come.
     */
    void lookAfter() {
        if (over) {
            return;
        }
        if (!promptRead && beginTimer.isEmpty()) {
            limitWaiting();
        }
        if (!parts.silent(endpoint)) {
            return;
        }
        if (!promptRead && waitsInVain()) {
            failed(AttemptEnd.UNKNOWN, "nothing is heard of the endpoint, and what waits there would begin too late");
        } else if ((!answer.begun() || run.mayGoOn()) && run.mayTakeAnother()) {
            events.dropRemainder();
            moveOn(AttemptEnd.UNKNOWN, "nothing is heard of the endpoint or its agent");
        }
    }

    /**
     * Whether nobody is served if an instance that stands still begins the request when it goes on: that would be on weights
     * that were replaced, after its endpoint left, or, of a stream that may run twice, after the objective, when another try of
     * the client does better.
     */
    private boolean waitsInVain() {
        RequestKind kind = request.route().kind();
        boolean late = kind.stream()
                && kind.repeatable()
                && run.millisTaken() > request.route().objectiveMillis();
        return late || parts.leaves(endpoint) || parts.versions().older(request, endpoint);
    }

    private void moveOn(AttemptEnd end, String why) {
        logFailed(end, why);
        stop();
        run.moveOn(end, why);
    }

    /** A timer that was due when it was removed runs all the same, so it must look whether it still counts. */
    private void notConnected() {
        if (over || sending) {
            return;
        }
        load.failures().broke(parts.nowMillis());
        failed(AttemptEnd.NOT_RUN, "no connection within " + LastLook.CONNECT_MILLIS + " ms");
    }

    /** Takes a request back that an older weight version has not begun when it may begin nothing any more. */
    private void notBegun(View.Target newer) {
        // A still newer version may be named, or may have been, for which there is to be a time of its own.
        beginTimer = Optional.empty();
        boolean waits = !over && !promptRead;
        if (waits && parts.versions().holdsOlder(request, endpoint, newer)) {
            failed(AttemptEnd.UNKNOWN, "a newer weight version is due, and the endpoint has not begun");
        }
    }

    // -- the sending

    /** Lets the request leave if the decision still holds, with what is left of the client's time now. */
    @Override
    public Optional<HttpCall> onSending(HttpCall decided) {
        if (over) {
            return Optional.empty();
        }
        return switch (LastLook.at(run, endpoint, beganMillis)) {
            case LastLook.Verdict.Holds ignored -> {
                sending = true;
                run.leaves();
                connectTimer.ifPresent(XnioExecutor.Key::remove);
                yield Optional.of(call());
            }
            case LastLook.Verdict.Outdated outdated -> {
                withhold(outdated);
                yield Optional.empty();
            }
        };
    }

    private void withhold(LastLook.Verdict.Outdated outdated) {
        logFailed(AttemptEnd.NOT_RUN, outdated.why());
        stop();
        run.withheld(endpoint, outdated);
    }

    // -- the answer

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
            load.failures().misdirected(parts.nowMillis());
            failed(AttemptEnd.MISDIRECTED, "another endpoint or version is at " + endpoint.address());
        } else if (!read.own() || !read.signed()) {
            load.failures().broke(parts.nowMillis());
            failed(AttemptEnd.UNKNOWN, "what came is no answer to this request");
        } else {
            answered(read);
        }
    }

    private void answered(AnswerHead read) {
        boolean error = read.status() >= SERVER_ERROR;
        if (error) {
            load.failures().failed(parts.nowMillis());
        } else {
            load.failures().succeeded();
            parts.metrics().firstByte.update(run.millisTaken(), TimeUnit.MILLISECONDS);
        }
        boolean mustNotPass = PROMISES_NOT_RUN.contains(read.status())
                && !request.route().kind().repeatable();
        if (mustNotPass || answer.begun() && error) {
            failed(AttemptEnd.UNKNOWN, "the endpoint answered " + read.status() + " without saying it has not run");
        } else if (error && run.mayTakeAnother()) {
            moveOn(AttemptEnd.FAILED, "the endpoint failed with " + read.status());
        } else {
            relay.begin(read, error);
        }
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        if (over) {
            return;
        }
        load.heard(parts.nowMillis());
        // The head may come as soon as the endpoint has taken the request; its prompt is read with the first event.
        promptDone();
        relay.part(data, more);
    }

    @Override
    public void onComplete() {
        if (over) {
            return;
        }
        release();
        relay.complete(endpoint);
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        if (over) {
            return;
        }
        load.failures().broke(parts.nowMillis());
        events.dropRemainder();
        failed(sent ? AttemptEnd.UNKNOWN : AttemptEnd.NOT_RUN, fault.message());
    }
}
