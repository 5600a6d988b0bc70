package org.micabarrow.coordination.requests;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.routing.Exclusion;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Workload;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The execution of one request, from its arrival to its single outcome. The request waits for a free slot, its key is
 * claimed if it must not be repeated, and it is sent to one agent after another while a retry is safe.
 */
final class RequestExecution {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    /** The maximum number of attempts per request. */
    private static final int MAX_ATTEMPTS = 3;

    /** The delay before a retry after a short-lived condition. */
    private static final Duration RETRY_SOON = Duration.ofMillis(500);

    /** The delay before a retry when no slot is free. */
    private static final Duration RETRY_LATER = Duration.ofSeconds(2);

    private final RequestFlow flow;
    private final RequestFlow.Components components;
    private final CallerRequest request;
    private final ResponseListener sink;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Set<String> tried = new HashSet<>();
    private final KeyClaimer keyClaimer;
    private final long waitUntilMillis;
    private int attempts;
    private boolean responseStarted;
    private volatile Optional<Claim> lastClaim = Optional.empty();
    private Optional<Outcome> unknownOutcome = Optional.empty();
    private Optional<String> refusedAttempt = Optional.empty();
    private Optional<Outcome.NotRun> lastRefusal = Optional.empty();
    private volatile Runnable cancelAttempt = () -> {};
    private volatile boolean cancelled;

    RequestExecution(
            RequestFlow flow, RequestFlow.Components components, CallerRequest request, ResponseListener sink) {
        this.flow = Objects.requireNonNull(flow, "flow is null");
        this.components = Objects.requireNonNull(components, "components is null");
        this.request = Objects.requireNonNull(request, "request is null");
        this.sink = Objects.requireNonNull(sink, "sink is null");
        this.keyClaimer = new KeyClaimer(flow, components, request, sink, new ClaimCallback());
        this.waitUntilMillis = now() + RequestFlow.MAX_SLOT_WAIT.toMillis();
    }

    CallerRequest request() {
        return request;
    }

    private long now() {
        return components.clock().millis();
    }

    /** Whether the request must run at most once. The caller can be stricter than the configuration, but not laxer. */
    boolean mustRunAtMostOnce(ActivePlacement placed) {
        boolean configuredAtMostOnce =
                placed.placement().workload() instanceof Workload.Service(String ignored, boolean repeatable)
                        && !repeatable;
        return configuredAtMostOnce || request.strict();
    }

    // -- selection

    /** Sends the request, or queues it until a slot is free. Requests that wait already go first. */
    void sendOrQueue() {
        Optional<ActivePlacement> placed = flow.placementOf(request);
        boolean mustQueue = placed.isPresent() && flow.mustQueue(this, placed.get());
        if (mustQueue || !tryDispatch()) {
            placed.flatMap(value -> flow.enqueue(this, value)).ifPresent(this::end);
        }
        if (mustQueue) {
            flow.dispatchWaiting();
        }
    }

    /** Whether the wait for a free slot is over: cancelled, timed out, or past the deadline. */
    boolean isWaitOver() {
        return cancelled || now() >= Math.min(waitUntilMillis, request.deadlineMillis());
    }

    /**
     * Tries to send the request.
     *
     * @return false if it has to wait for a free slot, true if it was sent or has ended
     */
    boolean tryDispatch() {
        if (cancelled) {
            end(Outcome.notRun(fault(Reason.CANCELLED, "the caller has gone"), RETRY_SOON));
            return true;
        }
        if (now() >= request.deadlineMillis()) {
            end(Outcome.notRun(fault(Reason.TOO_LATE, "the deadline has passed"), RETRY_SOON));
            return true;
        }
        Optional<ActivePlacement> placed = flow.placementOf(request);
        if (placed.isEmpty()) {
            end(Outcome.notRun(fault(Reason.OUTSIDE_PLACEMENT, "the placement was narrowed"), RETRY_SOON));
            return true;
        }
        Router.Decision decision = flow.route(placed.get(), criteria());
        if (decision.chosen().isPresent()) {
            send(placed.get(), decision);
            return true;
        }
        return !mayWait(placed.get(), decision);
    }

    private Router.Criteria criteria() {
        return new Router.Criteria(request.prefix(), request.shortRequest(), tried, now());
    }

    /** Waits only if an instance lacks a free slot; in any other case the request ends immediately. */
    private boolean mayWait(ActivePlacement placed, Router.Decision decision) {
        boolean full =
                decision.exclusions().stream().anyMatch(exclusion -> exclusion.reason() == Exclusion.Reason.FULL);
        if (full && !isWaitOver()) {
            return true;
        }
        log(placed, decision, "none");
        Outcome.NotRun refusal = lastRefusal.orElseGet(() -> new Outcome.NotRun(
                fault(
                        full ? Reason.OVERLOADED : Reason.NOT_READY,
                        "no instance of " + placed.placement().name() + " can take it: " + decision.exclusions()),
                full ? RETRY_LATER : RETRY_SOON));
        end(refusal);
        return false;
    }

    private void send(ActivePlacement placed, Router.Decision decision) {
        Replica replica = decision.chosen().orElseThrow();
        if (now() + decision.expectedWaitMillis() > request.deadlineMillis()) {
            end(Outcome.notRun(fault(Reason.TOO_LATE, "the answer would begin after the deadline"), RETRY_LATER));
            return;
        }
        attempts++;
        String attempt = components.attemptIds().get();
        log(placed, decision, attempt);
        if (mustRunAtMostOnce(placed)) {
            keyClaimer.claim(placed, replica, attempt, refusedAttempt);
        } else {
            dispatch(placed, replica, attempt, Optional.empty());
        }
    }

    private void log(ActivePlacement placed, Router.Decision decision, String attempt) {
        LOG.info(
                "route request={} attempt={} organisation={} placement={} chosen={} wait={} excluded={}",
                request.id(),
                attempt,
                request.organisation().name(),
                placed.placement().name(),
                decision.chosen().map(Replica::instance).orElse("-"),
                Math.round(decision.expectedWaitMillis()),
                decision.exclusions());
    }

    // -- sending

    /** Continues when the request's key has been claimed or settled. */
    private final class ClaimCallback implements KeyClaimer.Callback {

        @Override
        public void onClaimed(ActivePlacement placed, Replica replica, String attempt, Claim claim) {
            dispatch(placed, replica, attempt, Optional.of(claim));
        }

        @Override
        public void onRefused(Claim holder) {
            refusedAttempt = Optional.of(holder.attempt());
            retry(new Outcome.NotRun(fault(Reason.NOT_READY, "the attempt was refused for good"), RETRY_SOON));
        }

        @Override
        public void onEnd(Outcome outcome) {
            RequestExecution.this.end(outcome);
        }
    }

    private void dispatch(ActivePlacement placed, Replica replica, String attempt, Optional<Claim> claim) {
        flow.countAttempt();
        lastClaim = claim;
        tried.add(replica.instance());
        components.instanceStats().requestSent(replica.instance());
        components.prefixes().recordCached(request.prefix(), replica.instance(), now());
        AgentRequest sent = new AgentRequest(
                attempt,
                flow.generation(),
                placed.placement().name(),
                request.organisation().name(),
                request.deadlineMillis() - now(),
                request.priority(),
                request.stream(),
                request.method(),
                request.path(),
                request.contentType(),
                request.body(),
                claim);
        AttemptResponseListener listener = new AttemptResponseListener(
                components,
                request,
                sink,
                replica,
                attempt,
                () -> responseStarted = true,
                outcome -> handleOutcome(placed, replica, outcome));
        cancelAttempt = components.agents().handle(replica, sent, listener);
        if (cancelled) {
            cancel();
        }
    }

    private void handleOutcome(ActivePlacement placed, Replica replica, Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered answered -> end(answered);
            case Outcome.NotRun notRun -> handleRefusal(replica, notRun);
            case Outcome.Unknown unknown -> handleUnknown(placed, replica, unknown);
        }
        flow.dispatchWaiting();
    }

    /** Handles a refusal. A full instance may be tried again after a wait; any other one is excluded from now on. */
    private void handleRefusal(Replica replica, Outcome.NotRun refusal) {
        refusedAttempt = lastClaim.map(Claim::attempt).or(() -> refusedAttempt);
        boolean instanceFull = refusal.fault().reason() == Reason.OVERLOADED;
        if (instanceFull) {
            components.instanceStats().markFull(replica.instance(), now());
        }
        if (instanceFull && lastClaim.isEmpty() && !isWaitOver()) {
            lastRefusal = Optional.of(refusal);
            tried.remove(replica.instance());
            attempts--;
            sendOrQueue();
        } else {
            retry(refusal);
        }
    }

    /**
     * Handles an attempt with an unknown outcome: ends if the response has started or the request is cancelled, settles a
     * claimed key, and otherwise retries.
     */
    private void handleUnknown(ActivePlacement placed, Replica replica, Outcome.Unknown unknown) {
        components.instanceStats().requestFailed(replica.instance(), now());
        if (responseStarted || cancelled) {
            end(unknown);
        } else if (lastClaim.isPresent()) {
            keyClaimer.settle(placed, lastClaim.get());
        } else {
            unknownOutcome = Optional.of(unknown);
            retry(new Outcome.NotRun(unknown.fault(), RETRY_SOON));
        }
    }

    private void retry(Outcome.NotRun refusal) {
        lastRefusal = Optional.of(refusal);
        boolean mayRetry = attempts < MAX_ATTEMPTS
                && now() < request.deadlineMillis()
                && components.budget().tryRetry();
        if (mayRetry) {
            sendOrQueue();
        } else {
            end(refusal);
        }
    }

    // -- end

    /** Cancels the attempt in progress because the caller has disconnected. A claimed attempt is left to finish. */
    void cancel() {
        cancelled = true;
        if (lastClaim.isEmpty()) {
            cancelAttempt.run();
        }
    }

    /** Reports the outcome once. If an earlier attempt may have run, the outcome is never "not run". */
    private void end(Outcome outcome) {
        if (ended.compareAndSet(false, true)) {
            sink.onEnd(
                    outcome instanceof Outcome.NotRun && unknownOutcome.isPresent() ? unknownOutcome.get() : outcome);
        }
    }

    private Fault fault(Reason reason, String message) {
        return Fault.of(Step.ROUTE, "entry", reason, message);
    }
}
