package org.micabarrow.serving;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.micabarrow.admission.OccupiedSlot;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.AttemptPolicy;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.serving.EndpointProtocol.AnswerHead;
import org.micabarrow.serving.EndpointProtocol.Sending;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.xnio.XnioExecutor;

/**
 * One sending of a request to one endpoint: what comes back is counted, judged, and held or passed on. What follows from
 * an attempt that ends without an answer is for the run to decide. All of it runs on the one thread for traffic.
 */
final class Attempt implements HttpClient.Listener {

    private final ServedRequest run;
    private final ServingParts parts;
    private final ClientRequest request;
    private final ClientAnswer answer;
    private final EventSplitter events;
    private final EndpointRegistration endpoint;
    private final double predictedMillis;
    private final EndpointLoad load;
    private final OccupiedSlot room;
    private final Runnable suspectGone;
    private final AnswerRelay relay;
    private final BeginLimit beginLimit;
    private final long beganMillis;
    private final AwaitedPart awaited;
    private Optional<XnioExecutor.Key> connectTimer = Optional.empty();
    private Runnable cancel = () -> {};
    private boolean over;
    private boolean sending;

    Attempt(ServedRequest run, EndpointSelection.Send chosen) {
        this.run = run;
        this.parts = run.parts();
        this.request = run.request();
        this.answer = run.answer();
        this.events = run.events();
        this.endpoint = chosen.endpoint();
        this.predictedMillis = chosen.predictedMillis();
        this.relay = new AnswerRelay(run);
        this.beginLimit = new BeginLimit(run, endpoint, this::notBegun);
        this.load = parts.load(endpoint);
        this.beganMillis = parts.nowMillis();
        this.awaited = new AwaitedPart(parts::nowMillis);
        this.suspectGone = parts.suspects().sent(endpoint, run.digest(), beganMillis);
        load.limit().sent(beganMillis);
        this.room = new OccupiedSlot(load, request.promptTokens(), parts.line()::roomMayBe);
    }

    /** Sends the request, for which its room is taken already. */
    void begin() {
        connectTimer = Optional.of(after(LastLook.CONNECT_MILLIS, this::notConnected));
        beginLimit.look();
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

    private XnioExecutor.Key after(long millis, Runnable step) {
        return run.thread().executeAfter(step, millis, TimeUnit.MILLISECONDS);
    }

    private void release() {
        over = true;
        connectTimer.ifPresent(XnioExecutor.Key::remove);
        beginLimit.end();
        // Before the room: what waits for either is looked at when that is free.
        suspectGone.run();
        room.free();
    }

    /** Whether the endpoint may run the request, now or later: it has left, and nothing has ended the attempt. */
    boolean mayRun() {
        return sending && !over;
    }

    /** Stops the attempt for good, because nobody wants its answer any more. */
    void abandon(String why) {
        if (!over) {
            run.log().takenBack(endpoint, progress(), why);
            takeBack();
        }
    }

    /** Nothing that the attempt's connection does counts any more. */
    private void stop() {
        release();
        cancel.run();
    }

    /** Stops the attempt although its endpoint may still run it for a moment, and end by it. */
    private void takeBack() {
        if (sending) {
            parts.crashes().takenBack(endpoint, run.digest(), request.body().length, room.begun());
        }
        stop();
    }

    private void failed(AttemptOutcome end, String why) {
        logFailed(end, why);
        takeBack();
        run.again(end, why);
    }

    private void logFailed(AttemptOutcome end, String why) {
        run.log().failed(endpoint, end, progress(), why);
    }

    /** How far the request came at the endpoint, for the log: whether a head of an answer came, and a part of it. */
    private String progress() {
        return "afterMs=" + (parts.nowMillis() - beganMillis) + " taken=" + relay.begun() + " begun=" + room.begun();
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
        if (!room.begun()) {
            beginLimit.look();
        }
        if (over) {
            return;
        }
        if (!parts.silent(endpoint)) {
            lookWhetherOverdue();
            return;
        }
        if (!room.begun() && waitsInVain()) {
            failed(AttemptOutcome.UNKNOWN, "nothing is heard of the endpoint, and what waits there would begin too late");
        } else if ((!answer.begun() || run.mayGoOn()) && run.mayTakeAnother()) {
            events.dropRemainder();
            moveOn(AttemptOutcome.UNKNOWN, "nothing is heard of the endpoint or its agent");
        }
    }

    /**
     * Moves a request to another endpoint if the next part of its answer is overdue although the endpoint's instance is heard: the
     * endpoint may have lost it without a word. Nothing moves where no other endpoint has room, since then all are slow for want of it,
     * nor behind a link that is slow: what is late there is on its way.
     */
    private void lookWhetherOverdue() {
        long dueMillis = awaited.dueMillis();
        boolean overdue =
                sending && !load.delayedLately(parts.nowMillis()) && AttemptPolicy.overdue(request.route(), dueMillis);
        if (overdue && (!answer.begun() || run.mayGoOn()) && run.mayTakeAnother()) {
            events.dropRemainder();
            moveOn(AttemptOutcome.UNKNOWN, "the endpoint has sent nothing for " + dueMillis + " ms");
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

    private void moveOn(AttemptOutcome end, String why) {
        logFailed(end, why);
        takeBack();
        run.moveOn(end, why);
    }

    /** A timer that was due when it was removed runs all the same, so it must look whether it still counts. */
    private void notConnected() {
        if (over || sending) {
            return;
        }
        load.failures().broke(parts.nowMillis());
        failed(AttemptOutcome.NOT_RUN, "no connection within " + LastLook.CONNECT_MILLIS + " ms");
    }

    /** An older weight version may begin nothing any more. */
    private void notBegun() {
        if (!over && !room.begun()) {
            failed(AttemptOutcome.UNKNOWN, "a newer weight version is due, and the endpoint has not begun");
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
        logFailed(AttemptOutcome.NOT_RUN, outdated.why());
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
        if (read.ofThisEndpoint()) {
            heed(read);
        }
        switch (HeadVerdict.of(read, request.route().kind().repeatable(), answer.begun())) {
            case NOT_RUN -> failed(AttemptOutcome.NOT_RUN, "the endpoint refused with " + status);
            case MISDIRECTED -> {
                load.failures().misdirected(parts.nowMillis());
                failed(AttemptOutcome.MISDIRECTED, "another endpoint or version is at " + endpoint.address());
            }
            case NO_ANSWER -> {
                load.failures().broke(parts.nowMillis());
                failed(AttemptOutcome.UNKNOWN, "what came is no answer to this request");
            }
            case NOT_TO_PASS -> {
                remember(read.status());
                failed(AttemptOutcome.UNKNOWN, "the endpoint answered " + read.status() + " without saying it has not run");
            }
            case ERROR -> {
                remember(read.status());
                endpointFailed(read);
            }
            case ANSWER -> {
                remember(read.status());
                relay.begin(read, false);
            }
        }
    }

    /** Remembers what the endpoint says beside its answer, of use to all that is sent there later. */
    private void heed(AnswerHead read) {
        if (read.leaving()) {
            parts.saidThatItLeaves(endpoint);
        }
        read.restMillis().ifPresent(millis -> {
            load.rest().asked(millis, parts.nowMillis());
            run.log().rests(endpoint, millis);
        });
        if (load.limit().answered(read.limit(), beganMillis, parts.nowMillis())) {
            load.limit().logChange("answer");
        }
    }

    private void remember(int status) {
        if (HeadVerdict.isError(status)) {
            load.failures().failed(parts.nowMillis());
        } else {
            load.failures().succeeded();
            load.rest().answered(parts.nowMillis());
            parts.metrics().firstByte.update(run.millisTaken(), TimeUnit.MILLISECONDS);
        }
    }

    private void endpointFailed(AnswerHead read) {
        if (run.mayTakeAnother()) {
            moveOn(AttemptOutcome.FAILED, "the endpoint failed with " + read.status());
        } else {
            relay.begin(read, true);
        }
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        if (over) {
            return;
        }
        load.heard(parts.nowMillis());
        if (!room.begun()) {
            parts.crashes().answered(run.digest(), false);
            load.firstEvents().observed(predictedMillis, parts.nowMillis() - beganMillis, parts.nowMillis());
        }
        // The head may come as soon as the endpoint has taken the request; its prompt is read with the first event.
        room.promptRead();
        relay.part(data, awaited.came(more));
    }

    @Override
    public void onComplete() {
        if (over) {
            return;
        }
        parts.crashes().answered(run.digest(), true);
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
        if (sent && fault.reason() == Reason.UNREACHABLE && !parts.saysThatItLeaves(endpoint)) {
            broke(fault.message());
        } else {
            failed(sent ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN, fault.message());
        }
    }

    /** Ends the attempt, and has the request go on when it is known whether its endpoint has ended. */
    private void broke(String why) {
        boolean begun = room.begun();
        logFailed(AttemptOutcome.UNKNOWN, why);
        stop();
        run.ended(AttemptOutcome.UNKNOWN);
        parts.crashes().broke(endpoint, run.digest().get(), begun, () -> run.goOn(why));
    }
}
