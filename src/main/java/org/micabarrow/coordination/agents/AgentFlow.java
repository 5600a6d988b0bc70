package org.micabarrow.coordination.agents;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.micabarrow.coordination.admission.ConcurrencyLimit;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.AnswerHead;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.weights.WeightShare;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs requests at the endpoint: decides whether each may start here, keeps the ledger of those that may not be
 * repeated, and passes on only what belongs to the attempt and to the version that was asked for.
 */
public final class AgentFlow {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.decision.start");
    private static final Duration CATCH_UP = Duration.ofSeconds(1);
    private static final Duration SOON = Duration.ofMillis(200);

    private final Identity identity;
    private final Configuration configuration;
    private final Supplier<AgentView> view;
    private final StartCheck check;
    private final ConcurrencyLimit limit;
    private final Ledger ledger;
    private final EndpointCalls endpoint;
    private final WeightShare share;
    private final InstantSource clock;
    private final long answerBytes;
    private final Map<String, Integer> running = new ConcurrentHashMap<>();

    /**
     * Makes a flow.
     *
     * @param identity which process this is
     * @param configuration the configuration in force here
     * @param view what the control thread publishes
     * @param check decides whether a request may start
     * @param limit bounds how many run at once
     * @param ledger remembers requests that may not be repeated
     * @param endpoint runs requests
     * @param share learns how quickly answers begin
     * @param clock tells the time
     * @param answerBytes the greatest answer that is kept
     */
    public AgentFlow(
            Identity identity,
            Configuration configuration,
            Supplier<AgentView> view,
            StartCheck check,
            ConcurrencyLimit limit,
            Ledger ledger,
            EndpointCalls endpoint,
            WeightShare share,
            InstantSource clock,
            long answerBytes) {
        this.identity = Objects.requireNonNull(identity, "identity is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.view = Objects.requireNonNull(view, "view is null");
        this.check = Objects.requireNonNull(check, "check is null");
        this.limit = Objects.requireNonNull(limit, "limit is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.share = Objects.requireNonNull(share, "share is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.answerBytes = answerBytes;
    }

    // -- what others ask

    /**
     * How many requests run on a version.
     *
     * @param version the version
     * @return their number
     */
    public int running(String version) {
        return running.getOrDefault(version, 0);
    }

    /**
     * How many requests run in all.
     *
     * @return their number
     */
    public int open() {
        return limit.open();
    }

    /**
     * How many requests may run at once.
     *
     * @return the learned limit
     */
    public int mostOpen() {
        return limit.limit();
    }

    /**
     * Refuses a claimed key for good unless it has started.
     *
     * @param claim the claim that holds the key
     * @return what became of the key, empty if the claim names another process
     */
    public Optional<Ledger.Settled> settle(Claim claim) {
        return claim.epoch().equals(identity.epochText())
                ? Optional.of(ledger.settle(claim.key(), claim.latestStartMillis(), clock.millis()))
                : Optional.empty();
    }

    // -- running requests

    /**
     * Begins a request. The listener receives exactly one end.
     *
     * @param request the request
     * @param listener receives the answer
     * @return cancels the request when run; one that may not be repeated runs on
     */
    public Runnable begin(AgentRequest request, AnswerListener listener) {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(listener, "listener is null");
        Run run = new Run(request, listener);
        if (configuration.generation() >= request.generation()) {
            run.start();
        } else {
            configuration.reach(request.generation(), CATCH_UP).whenComplete((state, late) -> run.start());
        }
        return run::cancel;
    }

    /** One request at the endpoint. */
    private final class Run implements EndpointCalls.Listener {

        private final AgentRequest request;
        private final AnswerListener listener;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
        private volatile Runnable cancelCall = () -> {};
        private volatile boolean cancelled;
        private String version = "";
        private long startedMillis;
        private Optional<AnswerHead> head = Optional.empty();

        private Run(AgentRequest request, AnswerListener listener) {
            this.request = request;
            this.listener = listener;
        }

        private void start() {
            StartCheck.Decision decision =
                    check.check(configuration.current(), configuration.silentMillis(), view.get(), request);
            switch (decision) {
                case StartCheck.Decision.Refuse(Outcome.NotRun outcome) -> refuse(outcome);
                case StartCheck.Decision.Start(String wanted) -> startOn(wanted);
            }
        }

        private void startOn(String wanted) {
            version = wanted;
            if (!limit.tryOpen(request.shortRequest())) {
                refuse(notRun(Reason.OVERLOADED, "as many requests run as the endpoint bears"));
                return;
            }
            running.merge(version, 1, Integer::sum);
            if (mayRun()) {
                startedMillis = clock.millis();
                log("start");
                cancelCall = endpoint.send(
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
            Ledger.Start start = ledger.start(request.claim().get(), clock.millis());
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
            request.claim().ifPresent(AgentFlow.this::settle);
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
                        "the endpoint answered attempt " + attempt.orElse("-") + " with version "
                                + answered.orElse("-"))));
                return;
            }
            learn(clock.millis() - startedMillis);
            head = Optional.of(new AnswerHead(
                    request.attempt(),
                    status,
                    contentType,
                    version,
                    identity.instance(),
                    identity.region(),
                    identity.hall(),
                    configuration.generation()));
            listener.onHead(head.get());
        }

        /** Only what begins about as soon as others do tells of load: an unstreamed long answer begins when it ends. */
        private void learn(long millis) {
            if (request.shortRequest() || request.stream()) {
                limit.began(millis);
                share.began(millis);
            }
        }

        @Override
        public void onData(byte[] data, Runnable more) {
            if (request.claim().isPresent() && kept.size() <= answerBytes) {
                kept.writeBytes(data);
            }
            if (ended.get()) {
                more.run();
            } else {
                listener.onData(data, more);
            }
        }

        @Override
        public void onComplete() {
            request.claim().ifPresent(claim -> ledger.ended(claim.key(), answer()));
            finish(Outcome.answered());
        }

        private Optional<Ledger.Answer> answer() {
            return head.map(one -> new Ledger.Answer(one.status(), one.contentType(), kept.toByteArray()));
        }

        @Override
        public void onFailed(Fault fault, boolean sent) {
            if (sent) {
                request.claim().ifPresent(claim -> ledger.ended(claim.key(), Optional.empty()));
                finish(Outcome.unknown(fault));
            } else {
                request.claim().ifPresent(claim -> ledger.neverRan(claim.key()));
                finish(Outcome.notRun(fault, SOON));
            }
        }

        // -- ending

        /** Cancels what may run again; what may not runs on, and its answer is kept for whoever asks for it. */
        private void cancel() {
            cancelled = true;
            if (request.claim().isEmpty()) {
                cancelCall.run();
            }
        }

        /** Gives the place back and ends the attempt. */
        private void finish(Outcome outcome) {
            if (ended.compareAndSet(false, true)) {
                limit.close(request.shortRequest());
                running.merge(version, -1, (open, minus) -> open + minus == 0 ? null : open + minus);
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
                    configuration.generation());
        }

        private Outcome.NotRun notRun(Reason reason, String message) {
            return new Outcome.NotRun(fault(reason, message), SOON);
        }

        private Fault fault(Reason reason, String message) {
            return Fault.of(Step.START, identity.instance(), reason, message);
        }
    }
}
