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
import org.micabarrow.coordination.calls.AgentClient;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.ClaimWriter;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.routing.InstanceStats;
import org.micabarrow.coordination.routing.PrefixIndex;
import org.micabarrow.coordination.routing.Router;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Workload;

/**
 * Executes callers' requests: admission, routing, claims, attempts, and exactly one final outcome for each. The state of
 * a single request is in {@link RequestExecution}.
 */
public final class RequestFlow {

    /** The maximum time that a request waits for a free slot. */
    static final Duration MAX_SLOT_WAIT = Duration.ofSeconds(2);

    /** The minimum delay after which a refused request may be retried. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<FoldedState> state;
    private final Supplier<Map<String, PeerView>> peers;
    private final Components components;
    private final LongAdder requests = new LongAdder();
    private final LongAdder attempts = new LongAdder();
    private final Map<String, PlacementQueue> queues = new ConcurrentHashMap<>();

    /**
     * Creates a flow.
     *
     * @param state the active configuration
     * @param peers the current views of the agents, by instance
     * @param components the components that requests use
     */
    public RequestFlow(Supplier<FoldedState> state, Supplier<Map<String, PeerView>> peers, Components components) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.components = Objects.requireNonNull(components, "components is null");
    }

    /**
     * The components that requests use.
     *
     * @param router selects the replica for each attempt
     * @param instanceStats the entry's own measurements of each instance
     * @param prefixes records which instances got which prompts
     * @param agents sends requests to agents
     * @param claimWriters gives the claim writer for a key
     * @param budget limits retries
     * @param attemptIds generates the ids of attempts
     * @param clock the source of the current time
     * @param claimTimeout the timeout for writing a claim to the log
     */
    public record Components(
            Router router,
            InstanceStats instanceStats,
            PrefixIndex prefixes,
            AgentClient agents,
            Function<String, ClaimWriter> claimWriters,
            RetryBudget budget,
            Supplier<String> attemptIds,
            InstantSource clock,
            Duration claimTimeout) {}

    /**
     * Starts a request. The sink receives exactly one end.
     *
     * @param request the request
     * @param sink receives the response
     * @return cancels the request when run; for a caller that has disconnected
     */
    public Runnable begin(CallerRequest request, ResponseListener sink) {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(sink, "sink is null");
        Optional<ActivePlacement> placed = placementFor(state.get(), request);
        if (placed.isEmpty()) {
            sink.onEnd(Outcome.notRun(noPlacementFault(request), RETRY_AFTER));
            return () -> {};
        }
        RequestExecution execution = new RequestExecution(this, components, request, sink);
        if (execution.mustRunAtMostOnce(placed.get()) && request.key().isEmpty()) {
            sink.onEnd(Outcome.notRun(
                    Fault.of(
                            Step.READ,
                            "caller",
                            Reason.INVALID,
                            request.workload() + " is not repeatable: the request needs an Idempotency-Key header"),
                    RETRY_AFTER));
            return () -> {};
        }
        components.budget().recordFirstAttempt();
        requests.increment();
        execution.sendOrQueue();
        return execution::cancel;
    }

    private static Optional<ActivePlacement> placementFor(FoldedState state, CallerRequest request) {
        return placementFor(state, request.organisation().name(), request.workload(), request.model());
    }

    /**
     * The placement under which an organisation's request runs.
     *
     * @param state the configuration
     * @param organisation the organisation that sends it
     * @param workload the name of the requested model or service
     * @param model whether the workload is a model
     * @return the first placement, in order of names, that has the workload and admits the organisation
     */
    public static Optional<ActivePlacement> placementFor(
            FoldedState state, String organisation, String workload, boolean model) {
        return state.placements().values().stream()
                .filter(placed -> hasWorkload(placed, workload, model))
                .filter(placed -> placed.placement().organisations().contains(organisation))
                .findFirst();
    }

    private static boolean hasWorkload(ActivePlacement placed, String name, boolean model) {
        Workload workload = placed.placement().workload();
        boolean sameKind = workload instanceof Workload.Model == model;
        return sameKind && workload.name().equals(name);
    }

    private Fault noPlacementFault(CallerRequest request) {
        boolean workloadPlaced = state.get().placements().values().stream()
                .anyMatch(placed -> hasWorkload(placed, request.workload(), request.model()));
        String workload = (request.model() ? "model " : "service ") + request.workload();
        return workloadPlaced
                ? Fault.of(
                        Step.ROUTE,
                        "entry",
                        Reason.OUTSIDE_PLACEMENT,
                        "no placement of " + workload + " is for "
                                + request.organisation().name())
                : Fault.of(Step.ROUTE, "entry", Reason.NOT_FOUND, "no placement has " + workload);
    }

    // -- used by executions

    Optional<ActivePlacement> placementOf(CallerRequest request) {
        return placementFor(state.get(), request);
    }

    long generation() {
        return state.get().offset();
    }

    Router.Decision route(ActivePlacement placed, Router.Criteria criteria) {
        return components.router().route(placed, peers.get(), criteria);
    }

    Optional<PeerView> peer(String instance) {
        return Optional.ofNullable(peers.get().get(instance));
    }

    /** The queue for a placement and kind of request. Short and long requests do not block each other. */
    private PlacementQueue queue(RequestExecution execution, ActivePlacement placed) {
        String name = placed.placement().name() + (execution.request().shortRequest() ? "/short" : "/long");
        return queues.computeIfAbsent(name, key -> new PlacementQueue(components.clock()));
    }

    boolean mustQueue(RequestExecution execution, ActivePlacement placed) {
        return queue(execution, placed).size() > 0;
    }

    /** Adds a request to its queue; refuses it if the expected wait is too long or the queue is full. */
    Optional<Outcome.NotRun> enqueue(RequestExecution execution, ActivePlacement placed) {
        PlacementQueue queue = queue(execution, placed);
        long waitMillis = queue.expectedWaitMillis();
        long maxWaitMillis = Math.min(
                MAX_SLOT_WAIT.toMillis(),
                execution.request().deadlineMillis() - components.clock().millis());
        boolean queued = waitMillis <= maxWaitMillis && queue.offer(execution);
        return queued
                ? Optional.empty()
                : Optional.of(new Outcome.NotRun(
                        Fault.of(Step.ROUTE, "entry", Reason.OVERLOADED, "too many requests wait for room"),
                        Duration.ofMillis(Math.max(RETRY_AFTER.toMillis(), waitMillis))));
    }

    // -- waiting requests and counts

    /** Retries waiting requests; to be called when a slot may have become free, and periodically. */
    public void dispatchWaiting() {
        queues.values().forEach(PlacementQueue::dispatchWaiting);
    }

    /**
     * The number of requests that were accepted.
     *
     * @return the count since the start
     */
    public long requests() {
        return requests.sum();
    }

    /**
     * The number of attempts that were sent to agents.
     *
     * @return the count since the start
     */
    public long attempts() {
        return attempts.sum();
    }

    void countAttempt() {
        attempts.increment();
    }

    /**
     * The number of requests that wait for a free slot.
     *
     * @return the count
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
