package org.micabarrow.coordination.agents;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.micabarrow.coordination.admission.ConcurrencyLimit;
import org.micabarrow.coordination.calls.AgentRequest;
import org.micabarrow.coordination.calls.ResponseListener;
import org.micabarrow.coordination.claims.Claim;
import org.micabarrow.coordination.claims.Ledger;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.endpoint.EndpointCalls;
import org.micabarrow.coordination.membership.Identity;
import org.micabarrow.coordination.weights.WeightShare;

/**
 * Takes the requests that entries send to this agent, and knows how many run. What belongs to a single request is in
 * {@link AgentRun}.
 */
public final class AgentFlow {

    /**
     * How long a request waits for the configuration that its entry had, before it is decided on the one in force.
     */
    private static final Duration CATCH_UP = Duration.ofSeconds(1);

    private final Parts parts;
    private final Map<String, Integer> running = new ConcurrentHashMap<>();

    /**
     * Makes a flow.
     *
     * @param parts what requests pass through
     */
    public AgentFlow(Parts parts) {
        this.parts = Objects.requireNonNull(parts, "parts is null");
    }

    /**
     * What requests pass through.
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
    public record Parts(
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

        /** Checks that nothing is missing. */
        public Parts {
            Objects.requireNonNull(identity, "identity is null");
            Objects.requireNonNull(configuration, "configuration is null");
            Objects.requireNonNull(view, "view is null");
            Objects.requireNonNull(check, "check is null");
            Objects.requireNonNull(limit, "limit is null");
            Objects.requireNonNull(ledger, "ledger is null");
            Objects.requireNonNull(endpoint, "endpoint is null");
            Objects.requireNonNull(share, "share is null");
            Objects.requireNonNull(clock, "clock is null");
        }
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
        return parts.limit().inFlight();
    }

    /**
     * How many requests may run at once.
     *
     * @return the learned limit
     */
    public int mostOpen() {
        return parts.limit().limit();
    }

    /**
     * Refuses a claimed key for good unless it has started.
     *
     * @param claim the claim that holds the key
     * @return what became of the key, empty if the claim names another process
     */
    public Optional<Ledger.Settlement> settle(Claim claim) {
        return claim.epoch().equals(parts.identity().epochText())
                ? Optional.of(parts.ledger()
                        .settle(
                                claim.key(),
                                claim.latestStartMillis(),
                                parts.clock().millis()))
                : Optional.empty();
    }

    /** Counts a request that begins on a version. */
    void opened(String version) {
        running.merge(version, 1, Integer::sum);
    }

    /** Counts a request on a version as ended. */
    void closed(String version) {
        running.merge(version, -1, (open, minus) -> open + minus == 0 ? null : open + minus);
    }

    // -- running requests

    /**
     * Begins a request. The listener receives exactly one end.
     *
     * @param request the request
     * @param listener receives the answer
     * @return cancels the request when run; one that may not be repeated runs on
     */
    public Runnable begin(AgentRequest request, ResponseListener listener) {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(listener, "listener is null");
        AgentRun run = new AgentRun(this, parts, request, listener);
        if (parts.configuration().generation() >= request.generation()) {
            run.start();
        } else {
            parts.configuration().reach(request.generation(), CATCH_UP).whenComplete((state, late) -> run.start());
        }
        return run::cancel;
    }
}
