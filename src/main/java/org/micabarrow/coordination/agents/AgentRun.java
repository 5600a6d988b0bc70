package org.micabarrow.coordination.agents;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request at the endpoint: decides whether it may start here, keeps the ledger if it may not be repeated, and passes
 * on only what belongs to the attempt and to the version that was asked for.
 */
final class AgentRun implements EndpointCalls.Listener {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.start");

    /**
     * When a request that did not run may be tried again: another agent may have room at once.
     */
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final AgentFlow flow;
    private final AgentFlow.Parts parts;
    private final AgentRequest request;
    private final ResponseListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private final EventSplitter events = new EventSplitter();
    private volatile Runnable cancelCall = () -> {};
    private volatile boolean cancelled;
    private String version = "";
    private long startedMillis;
    private Optional<ResponseHead> head = Optional.empty();
    private boolean eventStream;

    AgentRun(AgentFlow flow, AgentFlow.Parts parts, AgentRequest request, ResponseListener listener) {
        this.flow = flow;
        this.parts = parts;
        this.request = request;
        this.listener = listener;
    }

    /** Starts the request at the endpoint, or refuses it. */
    void start() {
        StartCheck.Decision decision = parts.check()
                .check(
                        parts.configuration().current(),
                        parts.configuration().silentMillis(),
                        parts.view().get(),
                        request);
        switch (decision) {
            case StartCheck.Decision.Refuse(Outcome.NotRun outcome) -> refuse(outcome);
            case StartCheck.Decision.Start(String wanted) -> startOn(wanted);
        }
    }

    private void startOn(String wanted) {
        version = wanted;
        if (!parts.limit().tryAcquire(request.shortRequest())) {
            refuse(notRun(Reason.OVERLOADED, "as many requests run as the endpoint bears"));
            return;
        }
        flow.opened(version);
        if (mayRun()) {
            startedMillis = parts.clock().millis();
            log("start");
            cancelCall = parts.endpoint()
                    .send(
                            new EndpointCalls.Call(
                                    request.attempt(),
                                    request.method(),
                                    request.path(),
                                    request.contentType(),
                                    request.body(),
                                    request.priority(),
                                    version),
                            this);
            if (cancelled) {
                cancel();
            }
        }
    }

    /** Asks the ledger, and ends the attempt if it says no. */
    private boolean mayRun() {
        if (request.claim().isEmpty()) {
            return true;
        }
        Ledger.Start start =
                parts.ledger().start(request.claim().get(), parts.clock().millis());
        switch (start) {
            case Ledger.Start.Run ignored -> {
                return true;
            }
            case Ledger.Start.Refused(String why) -> finish(notRun(Reason.TOO_LATE, why));
            case Ledger.Start.Running ignored ->
                finish(Outcome.unknown(fault(Reason.CONFLICT, "the request is in progress here")));
            case Ledger.Start.Done ignored ->
                finish(Outcome.unknown(fault(Reason.CONFLICT, "the request has run here before")));
        }
        return false;
    }

    /** Refuses before anything was started; a claimed key is refused for good. */
    private void refuse(Outcome.NotRun outcome) {
        request.claim().ifPresent(flow::settle);
        log("refuse reason=" + outcome.fault().reason());
        end(outcome);
    }

    // -- the endpoint's answer

    @Override
    public void onHead(int status, String contentType, Optional<String> attempt, Optional<String> answered) {
        boolean otherAttempt = attempt.isPresent() && !attempt.get().equals(request.attempt());
        boolean otherVersion = !answered.orElse("").equals(version);
        if (otherAttempt || otherVersion) {
            cancelCall.run();
            finish(Outcome.unknown(fault(
                    Reason.CORRUPT,
                    "the endpoint answered attempt " + attempt.orElse("-") + " with version " + answered.orElse("-"))));
            return;
        }
        learn(parts.clock().millis() - startedMillis);
        eventStream = EventSplitter.isEventStream(contentType);
        head = Optional.of(new ResponseHead(
                request.attempt(),
                status,
                contentType,
                version,
                parts.identity().instance(),
                parts.identity().region(),
                parts.identity().hall(),
                parts.configuration().generation()));
        listener.onHead(head.get());
    }

    /** Only what begins about as soon as others do tells of load: an unstreamed long answer begins when it ends. */
    private void learn(long millis) {
        if (request.shortRequest() || request.stream()) {
            parts.limit().recordFirstByte(millis);
            parts.share().began(millis);
        }
    }

    @Override
    public void onData(byte[] data, Runnable more) {
        if (request.claim().isPresent() && kept.size() <= parts.answerBytes()) {
            kept.writeBytes(data);
        }
        byte[] passedOn = eventStream ? events.append(data) : data;
        if (ended.get() || passedOn.length == 0) {
            more.run();
        } else {
            listener.onData(passedOn, more);
        }
    }

    @Override
    public void onComplete(boolean endStated) {
        if (eventStream && events.isCut(endStated, 0)) {
            onFailed(fault(Reason.UNREACHABLE, "the endpoint's stream was cut"), true);
        } else if (endStated) {
            complete();
        } else {
            // The connections of an endpoint that has died end in the same way.
            parts.endpoint().askWhetherRunning(this::completeIfRunning);
        }
    }

    private void completeIfRunning(boolean running) {
        log("end_checked running=" + running);
        if (running) {
            complete();
        } else {
            onFailed(
                    fault(Reason.UNREACHABLE, "the answer ended with its connection, and the endpoint is silent"),
                    true);
        }
    }

    private void complete() {
        request.claim().ifPresent(claim -> parts.ledger().recordEnd(claim.key(), answer()));
        byte[] remainder = events.remainder();
        if (remainder.length > 0 && !ended.get()) {
            listener.onData(remainder, () -> finish(Outcome.answered()));
        } else {
            finish(Outcome.answered());
        }
    }

    private Optional<Ledger.StoredResponse> answer() {
        return head.map(one -> new Ledger.StoredResponse(one.status(), one.contentType(), kept.toByteArray()));
    }

    @Override
    public void onFailed(Fault fault, boolean sent) {
        if (sent) {
            request.claim().ifPresent(claim -> parts.ledger().recordEnd(claim.key(), Optional.empty()));
            finish(Outcome.unknown(fault));
        } else {
            request.claim().ifPresent(claim -> parts.ledger().recordNotRun(claim.key()));
            finish(Outcome.notRun(fault, RETRY_AFTER));
        }
    }

    // -- ending

    /** Cancels what may run again; what may not runs on, and its answer is kept for whoever asks for it. */
    void cancel() {
        cancelled = true;
        if (request.claim().isEmpty()) {
            cancelCall.run();
        }
    }

    /** Gives the place back and ends the attempt. */
    private void finish(Outcome outcome) {
        if (ended.compareAndSet(false, true)) {
            parts.limit().release(request.shortRequest());
            flow.closed(version);
            log("end outcome=" + outcome.getClass().getSimpleName());
            listener.onEnd(outcome);
        }
    }

    private void end(Outcome outcome) {
        if (ended.compareAndSet(false, true)) {
            listener.onEnd(outcome);
        }
    }

    private void log(String what) {
        LOG.info(
                "{} attempt={} placement={} organisation={} version={} generation={}",
                what,
                request.attempt(),
                request.placement(),
                request.organisation(),
                version,
                parts.configuration().generation());
    }

    private Outcome.NotRun notRun(Reason reason, String message) {
        return new Outcome.NotRun(fault(reason, message), RETRY_AFTER);
    }

    private Fault fault(Reason reason, String message) {
        return Fault.of(Step.START, parts.identity().instance(), reason, message);
    }
}
