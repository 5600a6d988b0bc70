package org.micabarrow.coordination.requests;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;
import java.util.function.Supplier;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.coordination.calls.AgentCalls;
import org.micabarrow.coordination.calls.AnswerListener;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.claims.ClaimWriter;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.coordination.routing.Traffic;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Workload;

/**
 * Takes callers' requests through admission, routing, claims and attempts to one final outcome each. What belongs to a
 * single request is in {@link RequestRun}.
 */
public final class RequestFlow {

    /** The longest that a request waits for room. */
    static final Duration LONGEST_QUEUE = Duration.ofSeconds(2);

    /** When a refused request may be tried again, at the soonest. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<FoldedState> state;
    private final Supplier<Map<String, PeerView>> peers;
    private final Parts parts;
    private final LongAdder requests = new LongAdder();
    private final LongAdder attempts = new LongAdder();
    private final Map<String, PlacementQueue> queues = new ConcurrentHashMap<>();

    /**
     * Makes a flow.
     *
     * @param state the configuration in force
     * @param peers what is known of the agents
     * @param parts what requests pass through
     */
    public RequestFlow(Supplier<FoldedState> state, Supplier<Map<String, PeerView>> peers, Parts parts) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
    }

    /**
     * What requests pass through.
     *
     * @param router decides where they go
     * @param traffic holds the entry's own figures
     * @param prefixes learns where prompts went
     * @param calls reaches agents
     * @param claims the claims that a key belongs to
     * @param budget limits retries
     * @param attempts gives ids to attempts
     * @param clock tells the time
     * @param claimWithin how long the log may take for a claim
     */
    public record Parts(
            Router router,
            Traffic traffic,
            PrefixIndex prefixes,
            AgentCalls calls,
            Function<String, ClaimWriter> claims,
            RetryBudget budget,
            Supplier<String> attempts,
            InstantSource clock,
            Duration claimWithin) {}

    /**
     * Begins a request. The sink receives exactly one end.
     *
     * @param request the request
     * @param sink receives the answer
     * @return cancels the request when run, for a caller that has gone
     */
    public Runnable begin(CallerRequest request, AnswerListener sink) {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(sink, "sink is null");
        Optional<ActivePlacement> placed = placementFor(state.get(), request);
        if (placed.isEmpty()) {
            sink.onEnd(Outcome.notRun(unplaced(request), RETRY_AFTER));
            return () -> {};
        }
        RequestRun run = new RequestRun(this, parts, request, sink);
        if (run.unrepeatable(placed.get()) && request.key().isEmpty()) {
            sink.onEnd(Outcome.notRun(
                    Fault.of(
                            Step.READ,
                            "caller",
                            Reason.INVALID,
                            request.workload() + " is not repeatable: the request needs an Idempotency-Key header"),
                    RETRY_AFTER));
            return () -> {};
        }
        parts.budget().sent();
        requests.increment();
        run.next();
        return run::cancel;
    }

    private static Optional<ActivePlacement> placementFor(FoldedState state, CallerRequest request) {
        return placementFor(state, request.organisation().name(), request.workload(), request.model());
    }

    /**
     * The placement under which an organisation's request runs.
     *
     * @param state the configuration
     * @param organisation who asks
     * @param workload the model or service asked for
     * @param model whether it is a model
     * @return the first placement by name that has the workload and allows the organisation
     */
    public static Optional<ActivePlacement> placementFor(
            FoldedState state, String organisation, String workload, boolean model) {
        return state.placements().values().stream()
                .filter(placed -> places(placed, workload, model))
                .filter(placed -> placed.placement().organisations().contains(organisation))
                .findFirst();
    }

    private static boolean places(ActivePlacement placed, String name, boolean model) {
        Workload workload = placed.placement().workload();
        boolean sameKind = workload instanceof Workload.Model == model;
        return sameKind && workload.name().equals(name);
    }

    private Fault unplaced(CallerRequest request) {
        boolean known = state.get().placements().values().stream()
                .anyMatch(placed -> places(placed, request.workload(), request.model()));
        String what = (request.model() ? "model " : "service ") + request.workload();
        return known
                ? Fault.of(
                        Step.ROUTE,
                        "entry",
                        Reason.OUTSIDE_PLACEMENT,
                        "no placement of " + what + " is for "
                                + request.organisation().name())
                : Fault.of(Step.ROUTE, "entry", Reason.NOT_FOUND, "no placement has " + what);
    }

    // -- for runs

    Optional<ActivePlacement> placementOf(CallerRequest request) {
        return placementFor(state.get(), request);
    }

    long generation() {
        return state.get().offset();
    }

    Router.Decision route(ActivePlacement placed, Router.Wish wish) {
        return parts.router().route(placed, peers.get(), wish);
    }

    Optional<PeerView> peer(String instance) {
        return Optional.ofNullable(peers.get().get(instance));
    }

    /** Where requests of one kind wait for one placement; short and long ones never block each other. */
    private PlacementQueue queue(RequestRun run, ActivePlacement placed) {
        String name = placed.placement().name() + (run.request().shortRequest() ? "/short" : "/long");
        return queues.computeIfAbsent(name, key -> new PlacementQueue(parts.clock()));
    }

    boolean mustQueue(RequestRun run, ActivePlacement placed) {
        return queue(run, placed).size() > 0;
    }

    /** Lets a request wait, unless its turn would come too late. */
    Optional<Outcome.NotRun> enqueue(RequestRun run, ActivePlacement placed) {
        PlacementQueue queue = queue(run, placed);
        long wait = queue.expectedWaitMillis();
        long most = Math.min(
                LONGEST_QUEUE.toMillis(),
                run.request().deadlineMillis() - parts.clock().millis());
        boolean taken = wait <= most && queue.offer(run);
        return taken
                ? Optional.empty()
                : Optional.of(new Outcome.NotRun(
                        Fault.of(Step.ROUTE, "entry", Reason.OVERLOADED, "too many requests wait for room"),
                        Duration.ofMillis(Math.max(RETRY_AFTER.toMillis(), wait))));
    }

    // -- waking those that wait

    /** Lets waiting requests try again; to be called when room may have come free, and now and then. */
    public void wake() {
        queues.values().forEach(PlacementQueue::wake);
    }

    /**
     * The requests that were taken on.
     *
     * @return their number since the start
     */
    public long requests() {
        return requests.sum();
    }

    /**
     * The attempts that were sent to agents.
     *
     * @return their number since the start
     */
    public long attempts() {
        return attempts.sum();
    }

    void attempted() {
        attempts.increment();
    }

    /**
     * The requests that wait for room.
     *
     * @return their number
     */
    public int waiting() {
        return queues.values().stream().mapToInt(PlacementQueue::size).sum();
    }

    /**
     * The key under which a caller's idempotency key is claimed.
     *
     * @param organisation the organisation
     * @param key the caller's key
     * @return a digest of both
     */
    public static String claimKey(String organisation, String key) {
        return Digest.of(organisation + "\n" + key);
    }
}
