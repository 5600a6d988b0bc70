package org.micabarrow.coordination.requests;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
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
 * One request from its arrival to its one outcome: it waits for room, is claimed if it may not be repeated, and is sent
 * to one agent after another for as long as that is safe.
 */
final class RequestRun {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.route");

    /** The most attempts of one request. */
    private static final int MOST_ATTEMPTS = 3;

    /** When a request may be tried again after what passes quickly. */
    private static final Duration RETRY_SOON = Duration.ofMillis(500);

    /** When a request may be tried again where room is missing. */
    private static final Duration RETRY_LATER = Duration.ofSeconds(2);

    private final RequestFlow flow;
    private final RequestFlow.Parts parts;
    private final CallerRequest request;
    private final AnswerListener sink;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Set<String> tried = new HashSet<>();
    private final KeyClaim keyClaim;
    private final long queuedUntil;
    private int attempts;
    private boolean begun;
    private volatile Optional<Claim> lastClaim = Optional.empty();
    private Optional<Outcome> mayHaveRun = Optional.empty();
    private Optional<String> after = Optional.empty();
    private Optional<Outcome.NotRun> lastRefusal = Optional.empty();
    private volatile Runnable cancelAttempt = () -> {};
    private volatile boolean cancelled;

    RequestRun(RequestFlow flow, RequestFlow.Parts parts, CallerRequest request, AnswerListener sink) {
        this.flow = Objects.requireNonNull(flow, "flow is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.request = Objects.requireNonNull(request, "request is null");
        this.sink = Objects.requireNonNull(sink, "sink is null");
        this.keyClaim = new KeyClaim(flow, parts, request, sink, new AfterClaim());
        this.queuedUntil = now() + RequestFlow.LONGEST_QUEUE.toMillis();
    }

    CallerRequest request() {
        return request;
    }

    private long now() {
        return parts.clock().millis();
    }

    /** Whether the request may run at most once. The caller may be stricter than the configuration, never laxer. */
    boolean unrepeatable(ActivePlacement placed) {
        boolean byConfiguration =
                placed.placement().workload() instanceof Workload.Service(String ignored, boolean repeatable)
                        && !repeatable;
        return byConfiguration || request.strict();
    }

    // -- choosing

    /** Tries to send the request, or lets it wait for room. */
    void next() {
        Optional<ActivePlacement> placed = flow.placementOf(request);
        boolean othersWait = placed.isPresent() && flow.mustQueue(this, placed.get());
        if (othersWait || !tryAgain()) {
            placed.flatMap(one -> flow.enqueue(this, one)).ifPresent(this::end);
        }
        if (othersWait) {
            flow.wake();
        }
    }

    /** Whether there is no more use in waiting for room. */
    boolean waitedEnough() {
        return cancelled || now() >= Math.min(queuedUntil, request.deadlineMillis());
    }

    /**
     * Tries to send the request.
     *
     * @return false if it was left waiting because there is no room, true if it was sent or has ended
     */
    boolean tryAgain() {
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
        Router.Decision decision = flow.route(placed.get(), wish());
        if (decision.chosen().isPresent()) {
            send(placed.get(), decision);
            return true;
        }
        return !mayWait(placed.get(), decision);
    }

    private Router.Wish wish() {
        return new Router.Wish(request.prefix(), request.shortRequest(), tried, now());
    }

    /** Waiting helps only where room is what is missing; everything else is told to the caller at once. */
    private boolean mayWait(ActivePlacement placed, Router.Decision decision) {
        boolean full = decision.exclusions().stream().anyMatch(one -> one.reason() == Exclusion.Reason.FULL);
        if (full && !waitedEnough()) {
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
        String attempt = parts.attempts().get();
        log(placed, decision, attempt);
        if (unrepeatable(placed)) {
            keyClaim.claim(placed, replica, attempt, after);
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

    /** Goes on once the request's key has been claimed or settled. */
    private final class AfterClaim implements KeyClaim.Next {

        @Override
        public void won(ActivePlacement placed, Replica replica, String attempt, Claim claim) {
            dispatch(placed, replica, attempt, Optional.of(claim));
        }

        @Override
        public void refused(Claim holder) {
            after = Optional.of(holder.attempt());
            retry(new Outcome.NotRun(fault(Reason.NOT_READY, "the attempt was refused for good"), RETRY_SOON));
        }

        @Override
        public void end(Outcome outcome) {
            RequestRun.this.end(outcome);
        }
    }

    private void dispatch(ActivePlacement placed, Replica replica, String attempt, Optional<Claim> claim) {
        flow.attempted();
        lastClaim = claim;
        tried.add(replica.instance());
        parts.traffic().opened(replica.instance());
        parts.prefixes().seen(request.prefix(), replica.instance(), now());
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
        AttemptAnswer answer = new AttemptAnswer(
                parts, request, sink, replica, attempt, () -> begun = true, outcome -> ended(placed, replica, outcome));
        cancelAttempt = parts.calls().handle(replica, sent, answer);
        if (cancelled) {
            cancel();
        }
    }

    private void ended(ActivePlacement placed, Replica replica, Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered answered -> end(answered);
            case Outcome.NotRun notRun -> refused(replica, notRun);
            case Outcome.Unknown unknown -> broken(placed, replica, unknown);
        }
        flow.wake();
    }

    /** After a refusal: a full instance is worth waiting for, any other is left out from now on. */
    private void refused(Replica replica, Outcome.NotRun refusal) {
        after = lastClaim.map(Claim::attempt).or(() -> after);
        boolean full = refusal.fault().reason() == Reason.OVERLOADED;
        if (full) {
            parts.traffic().full(replica.instance(), now());
        }
        if (full && lastClaim.isEmpty() && !waitedEnough()) {
            lastRefusal = Optional.of(refusal);
            tried.remove(replica.instance());
            attempts--;
            next();
        } else {
            retry(refusal);
        }
    }

    /** After an attempt whose fate is not known: settle a claimed one, repeat a repeatable one, else say so. */
    private void broken(ActivePlacement placed, Replica replica, Outcome.Unknown unknown) {
        parts.traffic().failed(replica.instance(), now());
        if (begun || cancelled) {
            end(unknown);
        } else if (lastClaim.isPresent()) {
            keyClaim.settle(placed, lastClaim.get());
        } else {
            mayHaveRun = Optional.of(unknown);
            retry(new Outcome.NotRun(unknown.fault(), RETRY_SOON));
        }
    }

    private void retry(Outcome.NotRun refusal) {
        lastRefusal = Optional.of(refusal);
        boolean mayRetry = attempts < MOST_ATTEMPTS
                && now() < request.deadlineMillis()
                && parts.budget().tryRetry();
        if (mayRetry) {
            next();
        } else {
            end(refusal);
        }
    }

    // -- ending

    /** Ends the attempt in progress because the caller has gone. */
    void cancel() {
        cancelled = true;
        if (lastClaim.isEmpty()) {
            cancelAttempt.run();
        }
    }

    /** Tells the outcome once. A request of which an earlier attempt may have run is never called "not run". */
    private void end(Outcome outcome) {
        if (ended.compareAndSet(false, true)) {
            sink.onEnd(outcome instanceof Outcome.NotRun && mayHaveRun.isPresent() ? mayHaveRun.get() : outcome);
        }
    }

    private Fault fault(Reason reason, String message) {
        return Fault.of(Step.ROUTE, "entry", reason, message);
    }
}
