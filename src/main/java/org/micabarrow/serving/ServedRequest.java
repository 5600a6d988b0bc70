package org.micabarrow.serving;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.admission.SizeBand;
import org.micabarrow.admission.SlotWait;
import org.micabarrow.attempts.AttemptHistory;
import org.micabarrow.attempts.AttemptOutcome;
import org.micabarrow.attempts.AttemptPolicy;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.attempts.EventSplitter;
import org.micabarrow.attempts.RequestTimes;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.RequestKind;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A client request from its arrival to the end of its response. All methods run on the traffic thread. */
final class ServedRequest implements InFlightRequests.InFlightRequest, SlotWait.Request {

    /**
     * The retry delay of a request whose answer would be cut by the stop of this process, in milliseconds: until the
     * platform has noticed the stop, another attempt at once could come here again.
     */
    private static final long STOPPING_RETRY_MILLIS = 100;

    private final ServingContext context;
    private final ClientRequest request;
    private final ClientResponse response;
    private final XnioIoThread thread;
    private final RequestTimes times;
    private final AttemptHistory attempts = new AttemptHistory();
    private final SlotWait slotWait;
    private final EventSplitter events = new EventSplitter();
    private final EventTimes eventTimes = new EventTimes();
    private final RequestLog log;
    private final RequestCauses causes;
    private final Optional<SizeBand> band;
    private boolean finished;
    private Optional<Attempt> currentAttempt = Optional.empty();
    private Optional<XnioExecutor.Key> deadlineTimer = Optional.empty();

    ServedRequest(ServingContext context, ClientRequest request, ClientResponse response, XnioIoThread thread) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.thread = thread;
        this.causes = RequestCauses.of(request);
        long now = context.nowMillis();
        long sinceFirstAttemptMillis = context.firstAttempts()
                .millisSinceFirstAttempt(request.route().name(), request.deadlineMillis() - now, now);
        this.times = RequestTimes.of(request, now, sinceFirstAttemptMillis);
        this.slotWait = new SlotWait(context.waitQueue().forThread(thread), this);
        this.band = context.recordSize(request);
        this.log = new RequestLog(context, request, sinceFirstAttemptMillis, eventTimes, causes, band);
    }

    void begin() {
        if (finished) {
            // Its client left before it was reached.
            return;
        }
        deadlineTimer =
                Optional.of(thread.executeAfter(() -> end("time is up"), times.maxHoldMillis(), TimeUnit.MILLISECONDS));
        context.inFlight().add(this);
        context.recordArrival(request, objectiveMissed());
        decideNext("first");
    }

    // -- used by attempts

    ServingContext context() {
        return context;
    }

    ClientRequest request() {
        return request;
    }

    ClientResponse response() {
        return response;
    }

    EventSplitter events() {
        return events;
    }

    RequestLog log() {
        return log;
    }

    XnioIoThread thread() {
        return thread;
    }

    /** What of the request may crash endpoints. */
    RequestCauses causes() {
        return causes;
    }

    long elapsedMillis() {
        return times.elapsedMillis(context.nowMillis());
    }

    long remainingMillis() {
        return times.remainingMillis(context.nowMillis());
    }

    long millisUntilObjective() {
        return times.untilObjectiveMillis(context.nowMillis(), response.started());
    }

    /** Whether the response can no longer meet the objective. */
    boolean objectiveMissed() {
        return millisUntilObjective() <= 0;
    }

    // -- routing

    @Override
    public AllowedRegions allowedRegions() {
        return request.allowedRegions();
    }

    @Override
    public Decision decide() {
        return context.decide(request, causes, millisUntilObjective(), attempts.triedEndpoints());
    }

    private void decideNext(String reason) {
        decided(decide(), reason);
    }

    @Override
    public void decided(Decision decision, String reason) {
        switch (decision) {
            case Decision.Send ignored when stopsBeforeAnswer() -> refuseForStop();
            case Decision.Wait ignored when stopsBeforeAnswer() -> refuseForStop();
            case Decision.Send(EndpointSelection.Selected selected) -> sendOrQueryAgent(selected, reason);
            case Decision.Wait wait
            when !response.started() && context.classes().waits(request, wait) -> waitForSlot(wait, reason);
            case Decision.Wait(long ignored, int endpoints) -> refuseWithoutSlot(endpoints);
            case Decision.Full(int endpoints) -> refuseWithoutSlot(endpoints);
            case Decision.Unable ignored -> concludeWithoutResponse(context.unableReason(request));
            case Decision.BackingOff(int endpoints, long ignored) ->
                concludeWithoutResponse("all " + endpoints + " endpoints have asked for rest");
            case Decision.RateLimited(int endpoints, OptionalLong millis) -> refuseOverRateLimit(endpoints, millis);
            case Decision.PoisonRequest poison -> refusePoisonRequest(poison);
        }
    }

    /**
     * Refuses a poison request. If no endpoint received it this time, it has certainly not run, and the client is told
     * how long it will be refused; a 4xx status would claim a fault of the request that is not proven.
     */
    private void refusePoisonRequest(Decision.PoisonRequest poison) {
        context.metrics().poisonRequests.inc();
        String reason = "it has ended " + poison.crashes() + " endpoints, " + poison.cause();
        conclude(outcomeWithoutResponse(), reason, poison::forMillis);
    }

    private void refuseWithoutSlot(int endpoints) {
        concludeWithoutResponse(context.recordRefusedForCapacity(
                request, millisUntilObjective(), endpoints, attempts.triedEndpoints()));
    }

    /**
     * Limits the delay to the usual one: another entry may have capacity sooner, and no client should be told to wait
     * longer than others.
     */
    private void refuseOverRateLimit(int endpoints, OptionalLong millis) {
        context.metrics().rateLimited.inc();
        String reason = "all " + endpoints + " endpoints have been sent what they take a second";
        long usual = context.retryAfterMillis(request);
        conclude(outcomeWithoutResponse(), reason, () -> Math.clamp(millis.orElse(usual), 1, Math.max(1, usual)));
    }

    private boolean stopsBeforeAnswer() {
        return !response.started()
                && context.stop().endsBeforeAnswer(request.route(), remainingMillis(), context.nowMillis());
    }

    /** Ends the request before an attempt whose answer would be cut: its client reaches another entry in the meantime. */
    private void refuseForStop() {
        context.metrics().stopRefused.inc();
        conclude(
                outcomeWithoutResponse(),
                "this entry is stopping, and an answer would probably come too late",
                () -> STOPPING_RETRY_MILLIS);
    }

    private void waitForSlot(Decision.Wait wait, String reason) {
        log.waitsForSlot(wait, millisUntilObjective());
        slotWait.begin(
                context.classes().competing(request, false).priority(), context.nowMillis() + wait.millis(), reason);
    }

    @Override
    public void expired() {
        decideNext("no endpoint had room in time");
    }

    // -- sending

    /** Sends the request, after querying the endpoint's agent if that is required. */
    private void sendOrQueryAgent(EndpointSelection.Selected selected, String reason) {
        if (!context.mustQueryAgent(request, selected.endpoint())) {
            send(selected, reason);
        } else if (attempts.countAgentQuery()) {
            context.queryAgent(request, selected.endpoint(), maySend -> onAgentReply(selected, reason, maySend));
        } else {
            concludeWithoutResponse("no agent answers beside an endpoint that could serve");
        }
    }

    private void onAgentReply(EndpointSelection.Selected selected, String reason, boolean maySend) {
        if (finished) {
            return;
        }
        if (maySend && context.withinRateLimit(selected.endpoint())) {
            send(selected, reason);
        } else {
            log.notSent(selected.endpoint());
            decideNext(reason);
        }
    }

    private void concludeWithoutResponse(String reason) {
        conclude(outcomeWithoutResponse(), reason);
    }

    private RequestOutcome outcomeWithoutResponse() {
        return RequestOutcome.withoutResponse(response.started(), attempts.mayHaveRun());
    }

    private void send(EndpointSelection.Selected selected, String reason) {
        EndpointRegistration endpoint = selected.endpoint();
        attempts.sent(endpoint.id());
        context.recordAttempt(request, attempts.count(), objectiveMissed());
        log.sent(selected, reason, attempts.count(), events.lastId(), millisUntilObjective(), remainingMillis());
        context.recordReportAge(endpoint);
        Attempt attempt = new Attempt(this, selected);
        currentAttempt = Optional.of(attempt);
        attempt.begin();
    }

    /**
     * Decides again after the check before the first byte has failed. Since nothing was sent, this does not count as a
     * retry: it takes nothing from the retry budget, and also applies to requests that may run only once.
     */
    void onPreSendCheckFailed(EndpointRegistration endpoint, PreSendCheck.Result.Outdated outdated) {
        attempts.notSent();
        if (remainingMillis() < AttemptPolicy.MIN_REMAINING_MILLIS) {
            concludeWithoutResponse(outdated.reason());
        } else if (outdated.mayReuseEndpoint()) {
            attempts.connectionLate(endpoint.id());
            // No agent was queried during a pause, so every agent seems unresponsive until one has replied again.
            context.awaitAgentReply(request, endpoint, () -> decideAgain(outdated.reason()));
        } else {
            decideNext(outdated.reason());
        }
    }

    /** Whether the request has been concluded. */
    boolean finished() {
        return finished;
    }

    /** Whether a connection of this request has come too late before. */
    boolean hadLateConnection() {
        return attempts.connectedLate();
    }

    private void decideAgain(String reason) {
        if (!finished) {
            decideNext(reason);
        }
    }

    /** Counts a retry once its first byte is about to be sent. */
    void countIfRetry() {
        if (attempts.count() > 1) {
            context.metrics().retries.inc();
        }
    }

    /** Retries or concludes the request after an attempt has ended without a response. */
    void onAttemptFailed(AttemptOutcome outcome, String reason) {
        recordAttemptOutcome(outcome);
        retryOrConclude(reason);
    }

    /** Records that an attempt has ended without a response; {@link #retryOrConclude} decides what follows. */
    void recordAttemptOutcome(AttemptOutcome outcome) {
        attempts.ended(outcome);
    }

    /** Retries the request or concludes it, unless it has finished meanwhile. */
    void retryOrConclude(String reason) {
        if (finished) {
            return;
        }
        boolean truncated = response.started() && !canResume();
        if (!truncated
                && AttemptPolicy.allowsAnotherAttempt(
                        request.route(), attempts.progress(remainingMillis()), context.budget()::tryRetry)) {
            decideNext(reason);
        } else {
            concludeWithoutResponse(reason);
        }
    }

    /**
     * Sends the request to another endpoint after {@link #reserveRetry} has allowed it; the previous endpoint may have
     * run it.
     */
    void switchEndpoint(AttemptOutcome outcome, String reason) {
        attempts.ended(outcome);
        decideNext(reason);
    }

    /**
     * Whether the request may run again at another endpoint that is available now; takes one retry from the budget if
     * so.
     */
    boolean reserveRetry() {
        return reserveRetry(selected -> true);
    }

    /** As above, if the other endpoint is acceptable. */
    boolean reserveRetry(Predicate<EndpointSelection.Selected> acceptable) {
        AttemptPolicy.Progress progress = attempts.progressIfRun(remainingMillis());
        return request.route().kind().repeatable()
                && !stopsBeforeAnswer()
                && decide() instanceof Decision.Send(EndpointSelection.Selected other)
                && acceptable.test(other)
                && AttemptPolicy.allowsAnotherAttempt(request.route(), progress, context.budget()::tryRetry);
    }

    /** Whether a response that has started can be resumed at another endpoint. */
    boolean canResume() {
        return request.route().kind() == RequestKind.RESUMABLE_STREAM
                && (!eventTimes.hasEvents() || events.lastId().isPresent());
    }

    /** Records that events have been forwarded to the client. */
    void onEventsForwarded() {
        eventTimes.recordForwarded(elapsedMillis());
    }

    /**
     * Checks the request by the monotonic clock, since its timers do not count the time for which the instance was
     * suspended.
     */
    @Override
    public void check() {
        if (remainingMillis() <= 0) {
            end("time is up");
        } else if (awaitsFirstData() && suspicion() instanceof SuspicionLevel.Refused refused) {
            currentAttempt.ifPresent(this::cancelAttempt);
            refusePoisonRequest(SuspectAdmission.refusal(refused));
        } else if (slotWait.isWaiting() && stopsBeforeAnswer()) {
            refuseForStop();
        } else {
            currentAttempt.ifPresent(Attempt::check);
        }
    }

    /** Whether its endpoint may yet crash on it. The client may have the head, which shows only that it was accepted. */
    private boolean awaitsFirstData() {
        return !response.started()
                || currentAttempt.filter(Attempt::awaitsFirstData).isPresent();
    }

    private SuspicionLevel suspicion() {
        return context.suspects().suspicion(causes, context.nowMillis());
    }

    /** Cancels an attempt at an endpoint that the request may be about to crash. */
    private void cancelAttempt(Attempt attempt) {
        attempts.ended(attempt.mayRun() ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN);
        attempt.abandon("it ends endpoints");
    }

    // -- outcomes

    @Override
    public void end(String reason) {
        if (finished) {
            return;
        }
        boolean mayRun =
                attempts.mayHaveRun() || currentAttempt.filter(Attempt::mayRun).isPresent();
        currentAttempt.ifPresent(attempt -> attempt.abandon(reason));
        conclude(RequestOutcome.timedOut(response.started(), mayRun), reason);
    }

    void onClientDisconnected() {
        if (finished) {
            return;
        }
        currentAttempt.ifPresent(attempt -> attempt.abandon("the client left"));
        conclude(RequestOutcome.CLIENT_GONE, "the client closed its connection");
    }

    void onResponseComplete(String details) {
        context.stop().answered(request.route(), elapsedMillis());
        conclude(RequestOutcome.ANSWERED, details);
    }

    private void conclude(RequestOutcome outcome, String reason) {
        conclude(outcome, reason, () -> context.retryAfterMillis(request));
    }

    private void conclude(RequestOutcome outcome, String reason, LongSupplier retryAfterMillis) {
        finished = true;
        context.inFlight().remove(this);
        currentAttempt = Optional.empty();
        slotWait.end();
        deadlineTimer.ifPresent(XnioExecutor.Key::remove);
        context.metrics().countOutcome(outcome);
        band.ifPresent(one -> context.metrics().countSize(one, outcome.logName()));
        log.finished(
                outcome.logName(), reason, attempts.count(), elapsedMillis(), remainingMillis(), response.describe());
        switch (outcome) {
            case NOT_RUN ->
                response.sendOwn(
                        outcome.status(), reason, context.recordRefusal(request, retryAfterMillis.getAsLong()));
            case UNKNOWN, TIMED_OUT -> response.sendOwn(outcome.status(), reason, 0);
            case BROKEN -> response.abort();
            case CLIENT_GONE -> response.onDisconnect();
            case ANSWERED -> {}
        }
    }
}
