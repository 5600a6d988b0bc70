package org.micabarrow.serving;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.micabarrow.admission.OccupiedSlot;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.EndpointLoad;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.serving.EndpointProtocol.AttemptParameters;
import org.micabarrow.serving.EndpointProtocol.ResponseHead;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.transport.BodyEnd;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.xnio.XnioExecutor;

/**
 * A single attempt to have one endpoint run a request. It accounts for the request at the endpoint, classifies the
 * response, and forwards it. If it ends without a response, {@link ServedRequest} decides what follows. All methods run
 * on the traffic thread.
 */
final class Attempt implements HttpClient.Listener {

    private final ServedRequest served;
    private final ServingContext context;
    private final ClientRequest request;
    private final ClientResponse response;
    private final EventSplitter events;
    private final EndpointRegistration endpoint;
    private final EndpointLoad load;
    private final OccupiedSlot slot;
    private final Runnable releaseSuspect;
    private final ResponseRelay relay;
    private final StartDeadline startDeadline;
    private final long startMillis;
    private final AttemptProgress progress;
    private final EndpointObserver observer;
    private Optional<XnioExecutor.Key> connectTimer = Optional.empty();
    private Runnable cancel = () -> {};
    private boolean closed;
    private boolean sendStarted;
    private long sentMillis;

    Attempt(ServedRequest served, EndpointSelection.Selected selected) {
        this.served = served;
        this.context = served.context();
        this.request = served.request();
        this.response = served.response();
        this.events = served.events();
        this.endpoint = selected.endpoint();
        this.relay = new ResponseRelay(served);
        this.startDeadline = new StartDeadline(served, endpoint, this::onStartDeadline);
        this.load = context.load(endpoint);
        this.startMillis = context.nowMillis();
        this.progress = new AttemptProgress(served, selected);
        this.observer = new EndpointObserver(served, endpoint, startMillis);
        this.releaseSuspect = context.suspects().onSent(endpoint, served.causes(), startMillis);
        load.rateLimit().sent(startMillis);
        load.coldLimit().sent(startMillis);
        this.slot = new OccupiedSlot(load, context.expectedSize(request), context.waitQueue()::onSlotFreed);
    }

    /** Sends the request, whose slot the constructor has already taken. */
    void begin() {
        connectTimer = Optional.of(after(PreSendCheck.CONNECT_TIMEOUT_MILLIS, this::onConnectTimeout));
        startDeadline.update();
        cancel = context.caller().send(call(), this);
    }

    /** Builds the request with the current remaining time and required version. */
    private HttpCall call() {
        AttemptParameters parameters = new AttemptParameters(
                endpoint,
                Math.max(1, served.remainingMillis()),
                context.versions().requiredVersion(request, endpoint),
                events.lastId(),
                served.objectiveMissed());
        return context.protocol().encode(request, parameters);
    }

    private XnioExecutor.Key after(long millis, Runnable step) {
        return served.thread().executeAfter(step, millis, TimeUnit.MILLISECONDS);
    }

    private void release() {
        closed = true;
        if (sendStarted) {
            context.openAttempts().ended(endpoint.start(), sentMillis);
        }
        progress.ended();
        connectTimer.ifPresent(XnioExecutor.Key::remove);
        startDeadline.cancel();
        // Before the slot is freed: requests that wait for either are reconsidered as soon as the slot is free.
        releaseSuspect.run();
        slot.release();
    }

    /** Whether the endpoint may run the request now or later: it has been sent, and the attempt has not ended. */
    boolean mayRun() {
        return sendStarted && !closed;
    }

    /** Whether the request has been sent, and none of the response's body has arrived. */
    boolean awaitsFirstData() {
        return mayRun() && !slot.started();
    }

    /** Cancels the attempt because its response is no longer needed. */
    void abandon(String reason) {
        if (!closed) {
            served.log().cancelled(endpoint, progressForLog(), reason);
            cancelAndRecord();
        }
    }

    /** Releases what the attempt holds and cancels its connection, whose events are ignored from now on. */
    private void stop() {
        release();
        cancel.run();
    }

    /** Cancels the attempt and records that its endpoint may still run the request for a moment, and crash on it. */
    private void cancelAndRecord() {
        if (sendStarted) {
            context.crashes().recordCancelled(endpoint, served.causes(), request.body().length, slot.started());
        }
        stop();
    }

    private void failAttempt(AttemptOutcome outcome, String reason) {
        logFailed(outcome, reason);
        cancelAndRecord();
        served.onAttemptFailed(outcome, reason);
    }

    private void logFailed(AttemptOutcome outcome, String reason) {
        served.log().attemptFailed(endpoint, outcome, progressForLog(), reason);
    }

    /**
     * The progress of the request at the endpoint for the log: whether a response head has arrived, and whether any of
     * the body has.
     */
    private String progressForLog() {
        return "afterMs=" + (context.nowMillis() - startMillis) + " taken=" + relay.hasHead() + " begun="
                + slot.started();
    }

    /**
     * Re-evaluates the attempt with current information. A newer weight version may have been named since it was sent.
     * While the endpoint is unresponsive, a request that would start too late is cancelled, and one that may run twice
     * is moved to another endpoint. Otherwise the attempt stays, since the response may still arrive.
     */
    void check() {
        if (closed) {
            return;
        }
        if (!slot.started()) {
            startDeadline.update();
        }
        if (closed) {
            return;
        }
        if (!context.isUnresponsive(endpoint)) {
            switchIfOverdue();
            return;
        }
        if (!slot.started() && wouldStartTooLate()) {
            failAttempt(
                    AttemptOutcome.UNKNOWN,
                    "nothing is heard of the endpoint, and what waits there would begin too late");
        } else if ((!response.started() || served.canResume()) && served.reserveRetry()) {
            events.discardRemainder();
            switchEndpoint(AttemptOutcome.UNKNOWN, "nothing is heard of the endpoint or its agent");
        }
    }

    /** Moves the request to another endpoint if its progress gives reason to. */
    private void switchIfOverdue() {
        if (sendStarted) {
            progress.reserveSwitch().ifPresent(reason -> {
                events.discardRemainder();
                switchEndpoint(AttemptOutcome.UNKNOWN, reason);
            });
        }
    }

    /**
     * Whether it would be of no use for a paused instance to start the request once it resumes: it would run on weights
     * that have been replaced, after its endpoint has drained, or, for a stream that may run twice, after the
     * objective, when a retry by the client is faster.
     */
    private boolean wouldStartTooLate() {
        RequestKind kind = request.route().kind();
        boolean objectiveMissed = kind.stream()
                && kind.repeatable()
                && served.elapsedMillis() > request.route().objectiveMillis();
        return objectiveMissed
                || context.isGoneOrDraining(endpoint)
                || context.versions().holdsOutdated(request, endpoint);
    }

    private void switchEndpoint(AttemptOutcome outcome, String reason) {
        logFailed(outcome, reason);
        cancelAndRecord();
        served.switchEndpoint(outcome, reason);
    }

    /** A timer that was already due when it was removed still runs, so the state is checked again here. */
    private void onConnectTimeout() {
        if (closed || sendStarted) {
            return;
        }
        load.failures().connectionFailed(context.nowMillis());
        failAttempt(AttemptOutcome.NOT_RUN, "no connection within " + PreSendCheck.CONNECT_TIMEOUT_MILLIS + " ms");
    }

    /** Cancels the request if the endpoint, which holds an older weight version, has not begun it in time. */
    private void onStartDeadline() {
        if (!closed && !slot.started()) {
            failAttempt(AttemptOutcome.UNKNOWN, "a newer weight version is due, and the endpoint has not begun");
        }
    }

    // -- sending

    /** Sends the request with the time that is left now, if the routing decision is still valid. */
    @Override
    public Optional<HttpCall> beforeSend(HttpCall decided) {
        if (closed) {
            return Optional.empty();
        }
        return switch (PreSendCheck.check(served, endpoint, startMillis)) {
            case PreSendCheck.Result.Valid ignored -> {
                sendStarted = true;
                sentMillis = context.nowMillis();
                context.openAttempts().sent(endpoint.start(), sentMillis);
                served.countIfRetry();
                connectTimer.ifPresent(XnioExecutor.Key::remove);
                yield Optional.of(call());
            }
            case PreSendCheck.Result.Outdated outdated -> {
                withhold(outdated);
                yield Optional.empty();
            }
        };
    }

    private void withhold(PreSendCheck.Result.Outdated outdated) {
        logFailed(AttemptOutcome.NOT_RUN, outdated.reason());
        stop();
        served.onPreSendCheckFailed(endpoint, outdated);
    }

    // -- response

    @Override
    public void onHead(int status, HeaderFields headers) {
        if (closed) {
            return;
        }
        load.contact().dataReceived(context.nowMillis());
        ResponseHead head = context.protocol().decodeHead(request, status, headers);
        head.weightVersion().ifPresent(load::respondedWithVersion);
        if (head.isFromIntendedEndpoint()) {
            observer.headReceived(head);
        }
        switch (HeadClassification.classify(head, request.route().kind().repeatable(), response.started())) {
            case NOT_RUN -> failAttempt(AttemptOutcome.NOT_RUN, "the endpoint refused with " + status);
            case MISDIRECTED -> {
                load.failures().misdirected(context.nowMillis());
                failAttempt(AttemptOutcome.MISDIRECTED, "another endpoint or version is at " + endpoint.address());
            }
            case NO_ANSWER -> {
                load.failures().connectionFailed(context.nowMillis());
                failAttempt(AttemptOutcome.UNKNOWN, "what came is no answer to this request");
            }
            case NOT_TO_PASS -> {
                observer.statusReceived(head.status());
                failAttempt(
                        AttemptOutcome.UNKNOWN,
                        "the endpoint answered " + head.status() + " without saying it has not run");
            }
            case ERROR -> {
                observer.statusReceived(head.status());
                onEndpointError(head);
            }
            case ANSWER -> {
                observer.statusReceived(head.status());
                relay.start(head, false);
            }
        }
    }

    private void onEndpointError(ResponseHead head) {
        if (served.reserveRetry()) {
            switchEndpoint(AttemptOutcome.FAILED, "the endpoint failed with " + head.status());
        } else {
            relay.start(head, true);
        }
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        if (closed) {
            return;
        }
        load.contact().dataReceived(context.nowMillis());
        if (!slot.started()) {
            clearCauses(false);
        }
        // The head may arrive as soon as the endpoint accepts the request; only the first event shows that it has read
        // the prompt.
        slot.promptRead();
        relay.forward(data, progress.onReceived(more));
        if (!closed && events.isEndless()) {
            onBrokenOff("the stream goes on without the end of an event");
        }
    }

    @Override
    public void onComplete(BodyEnd end) {
        if (closed) {
            return;
        }
        Optional<String> truncation = relay.truncation(end);
        if (truncation.isPresent()) {
            onBrokenOff(truncation.get());
            return;
        }
        switch (end) {
            case STATED -> {
                recordComplete();
                release();
                relay.complete(endpoint, end);
            }
            case CONNECTION -> {
                boolean begun = slot.started();
                release();
                checkEnd(begun);
            }
        }
    }

    private void recordComplete() {
        clearCauses(true);
        progress.completed();
    }

    /** Completes or continues the request once it is known whether the endpoint still runs. */
    private void checkEnd(boolean begun) {
        served.recordAttemptOutcome(AttemptOutcome.UNKNOWN);
        new UnstatedEnd(served, endpoint, begun, relay.describe(BodyEnd.CONNECTION))
                .check(this::onEndConfirmed, this::onEndUnproven);
    }

    private void onEndConfirmed() {
        recordComplete();
        relay.complete(endpoint, BodyEnd.CONNECTION);
    }

    /** Continues as after a broken connection; what the attempt held has been released. */
    private void onEndUnproven(String reason) {
        load.failures().connectionFailed(context.nowMillis());
        events.discardRemainder();
        logFailed(AttemptOutcome.UNKNOWN, reason);
        served.retryOrConclude(reason);
    }

    /** Records a response, unless it reports an error: the endpoint may have failed before it began to write an answer. */
    private void clearCauses(boolean whole) {
        if (!relay.reportsError()) {
            context.crashes().onResponse(served.causes(), whole);
        }
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        if (closed) {
            return;
        }
        if (sent && fault.reason() == Reason.UNREACHABLE) {
            onBrokenOff(fault.message());
        } else {
            load.failures().connectionFailed(context.nowMillis());
            events.discardRemainder();
            failAttempt(sent ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN, fault.message());
        }
    }

    /**
     * Ends the attempt, whose response or connection broke off. Unless the endpoint is draining, the request continues
     * once it is known whether the endpoint has crashed.
     */
    private void onBrokenOff(String reason) {
        context.openAttempts().brokeOff(endpoint.start(), context.nowMillis());
        load.failures().connectionFailed(context.nowMillis());
        events.discardRemainder();
        if (context.isDraining(endpoint)) {
            failAttempt(AttemptOutcome.UNKNOWN, reason);
            return;
        }
        boolean begun = slot.started();
        logFailed(AttemptOutcome.UNKNOWN, reason);
        stop();
        served.recordAttemptOutcome(AttemptOutcome.UNKNOWN);
        context.crashes().connectionBroke(endpoint, served.causes(), begun, () -> served.retryOrConclude(reason));
    }
}
