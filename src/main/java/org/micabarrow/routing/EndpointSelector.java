package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;

/**
 * Selects the endpoint with the shortest predicted time to the first event, with a preference for the entry's own
 * region. Selects none if the objective cannot be met. Not thread-safe: confined to one thread.
 */
public final class EndpointSelector {

    /** Maximum number of starts remembered that are not listed: about a megabyte, and more than come and go within minutes. */
    private static final int MAX_UNLISTED = 1_000;

    private final Map<EndpointStart, EndpointLoad> loads = new HashMap<>();

    /** The starts that are not listed and have no request in flight, in the order in which they left. */
    private final Set<EndpointStart> unlisted = new LinkedHashSet<>();

    private final UnmetDemand unmetDemand = new UnmetDemand();
    private final EntryCount entryCount = new EntryCount();
    private final StreamGaps streamGaps = new StreamGaps();
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private final EndpointEligibility eligibility;
    private final ColdEndpoints cold;
    private Set<EndpointStart> unqueried = Set.of();

    /**
     * Creates a selector without any load information.
     *
     * @param region the entry's region
     * @param regions the region of each data hall
     */
    public EndpointSelector(String region, Map<String, String> regions) {
        this(region, PlacementFilter.of(regions), ColdEndpoints.unlimited());
    }

    /**
     * Creates a selector without any load information.
     *
     * @param region the entry's region
     * @param placement decides at which endpoints requests may be handled
     * @param cold the endpoints that are cold
     */
    public EndpointSelector(String region, PlacementFilter placement, ColdEndpoints cold) {
        this.eligibility = new EndpointEligibility(region, placement);
        this.cold = Objects.requireNonNull(cold, "cold is null");
    }

    /**
     * Returns the endpoints that are cold.
     *
     * @return the mutable set
     */
    public ColdEndpoints cold() {
        return cold;
    }

    /**
     * Returns what decides at which endpoints requests may be handled.
     *
     * @return the filter
     */
    public PlacementFilter placement() {
        return eligibility.placement();
    }

    /**
     * Returns the load of one start of an endpoint. Load of earlier starts does not carry over.
     *
     * @param start the endpoint's start
     * @return its mutable load
     */
    public EndpointLoad load(EndpointStart start) {
        return loads.computeIfAbsent(
                start,
                key -> new EndpointLoad(
                        new EndpointRateLimit(key.id(), entryCount, random),
                        new EndpointSpeed(key.id()),
                        new StreamSilence(streamGaps)));
    }

    /**
     * Returns the load of an endpoint that does not report its start time.
     *
     * @param id the endpoint's id
     * @return its mutable load
     */
    public EndpointLoad load(String id) {
        return load(EndpointStart.ofUnknownTime(id));
    }

    /**
     * Returns whether requests of this entry are in flight at an endpoint.
     *
     * @param start the endpoint's start
     * @return false if there are none, or the endpoint is unknown
     */
    public boolean hasRequestsInFlight(EndpointStart start) {
        EndpointLoad load = loads.get(start);
        return load != null && !load.idle();
    }

    /**
     * Ends the contact with endpoints that are no longer listed, once no request is in flight there: until then their
     * unresponsiveness can still be detected. What they have stated and what was learned of them is kept, since the same
     * start may be listed again: an endpoint that loses its contact to the store stays in the backoff that it asked for.
     * It is forgotten when a later start is listed, or when too many others have left since.
     *
     * @param present the listed endpoints
     */
    public void retainOnly(Collection<EndpointRegistration> present) {
        Map<String, EndpointStart> listed = new HashMap<>();
        present.forEach(endpoint -> listed.put(endpoint.id(), endpoint.start()));
        unlisted.removeAll(listed.values());
        loads.entrySet().removeIf(entry -> {
            Optional<EndpointStart> current =
                    Optional.ofNullable(listed.get(entry.getKey().id()));
            return entry.getValue().idle() && !current.equals(Optional.of(entry.getKey())) && leave(entry, current);
        });
        while (unlisted.size() > MAX_UNLISTED) {
            EndpointStart earliest = unlisted.iterator().next();
            unlisted.remove(earliest);
            loads.remove(earliest);
        }
    }

    /** Records that a start is not listed, and returns whether it is to be forgotten. */
    private boolean leave(Map.Entry<EndpointStart, EndpointLoad> left, Optional<EndpointStart> current) {
        if (current.filter(start -> start.isLaterThan(left.getKey())).isPresent()) {
            unlisted.remove(left.getKey());
            return true;
        }
        if (unlisted.add(left.getKey())) {
            left.getValue().contactEnded();
        }
        return false;
    }

    // -- draining

    /**
     * Records that an endpoint stated in a response that it is draining.
     *
     * @param start the endpoint's start
     * @return false if this was recorded before
     */
    public boolean markDraining(EndpointStart start) {
        return eligibility.markDraining(start);
    }

    /**
     * Returns whether an endpoint accepts no new requests, according to its registration, its responses or its agent.
     *
     * @param endpoint the endpoint
     * @return true if any of them reports it as draining
     */
    public boolean isDraining(EndpointRegistration endpoint) {
        return eligibility.isDraining(withLoad(endpoint));
    }

    /**
     * Returns the recent demand that this entry could not serve for lack of capacity.
     *
     * @return the mutable count of refused model requests
     */
    public UnmetDemand unmetDemand() {
        return unmetDemand;
    }

    /**
     * Returns the number of entries among which rate limits are divided.
     *
     * @return the mutable count, as reported by agents
     */
    public EntryCount entryCount() {
        return entryCount;
    }

    // -- selection

    /**
     * Returns whether an endpoint's limits allow this entry a request now.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true also if the endpoint has no limit
     */
    public boolean withinRateLimit(EndpointRegistration endpoint, long nowMillis) {
        return withLoad(endpoint).withinLimits(nowMillis);
    }

    /**
     * Sets the endpoints whose agents this entry does not query, since there are too many. They are selected only while
     * no other endpoint is eligible.
     *
     * @param starts the endpoints' starts, empty if all agents are queried
     */
    public void setUnqueried(Set<EndpointStart> starts) {
        unqueried = Set.copyOf(starts);
    }

    /**
     * Selects an endpoint.
     *
     * @param candidates the service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return the selection
     */
    public EndpointSelection select(List<EndpointRegistration> candidates, RoutingRequest request, long nowMillis) {
        if (!unqueried.isEmpty()) {
            List<EndpointRegistration> queried = candidates.stream()
                    .filter(endpoint -> !unqueried.contains(endpoint.start()))
                    .toList();
            EndpointSelection selection = selection(request, nowMillis).among(withLoad(queried));
            if (!(selection instanceof EndpointSelection.NoneEligible)) {
                return selection;
            }
        }
        return selection(request, nowMillis).among(withLoad(candidates));
    }

    private FastestEndpoint selection(RoutingRequest request, long nowMillis) {
        return new FastestEndpoint(eligibility, request, nowMillis);
    }

    private EndpointCandidate withLoad(EndpointRegistration endpoint) {
        return new EndpointCandidate(endpoint, load(endpoint.start()), cold);
    }

    private List<EndpointCandidate> withLoad(List<EndpointRegistration> endpoints) {
        List<EndpointCandidate> all = new ArrayList<>(endpoints.size());
        endpoints.forEach(endpoint -> all.add(withLoad(endpoint)));
        return all;
    }

    /**
     * Returns whether an endpoint has asked this process for a backoff that is still active.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true until the backoff ends
     */
    public boolean inBackoff(EndpointRegistration endpoint, long nowMillis) {
        return withLoad(endpoint).inBackoff(nowMillis);
    }

    /**
     * Returns the time until the first of the eligible endpoints ends its backoff.
     *
     * @param candidates a service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds; empty if an eligible endpoint is not in backoff, or none is eligible
     */
    public OptionalLong untilBackoffEndsMillis(
            List<EndpointRegistration> candidates, RoutingRequest request, long nowMillis) {
        return EndpointCandidate.untilBackoffEndsMillis(
                EndpointCandidate.filter(
                        withLoad(candidates), candidate -> eligibility.eligible(candidate, request, nowMillis)),
                nowMillis);
    }

    /**
     * Returns whether contact with an endpoint is lost.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true if its agent has reported before, but neither the endpoint nor its agent has been in contact within
     *     the timeout
     */
    public boolean unresponsive(EndpointRegistration endpoint, long nowMillis) {
        return eligibility.unresponsive(withLoad(endpoint), nowMillis);
    }

    /**
     * Returns whether an endpoint's agent must be queried before a request is sent there. An endpoint that still holds
     * an older version than the newest announced one must not get requests that it could start after that version's
     * deadline: while its instance is paused, requests queue up in front of it, and only resetting their connections
     * withdraws them.
     *
     * @param endpoint the endpoint
     * @param request the request to send
     * @return whether the endpoint holds an older version and has an agent
     */
    public boolean mustQueryAgent(EndpointRegistration endpoint, RoutingRequest request) {
        return load(endpoint.start()).contact().hasAgent()
                && request.model()
                        .filter(model -> withLoad(endpoint).version(model) < request.newestVersion())
                        .isPresent();
    }

    /**
     * Returns whether an endpoint may get a request at all, regardless of its load.
     *
     * @param endpoint the endpoint
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return false if it is draining, was tried, is in a place that is not allowed, or does not hold a version that
     *     may respond
     */
    public boolean eligible(EndpointRegistration endpoint, RoutingRequest request, long nowMillis) {
        return eligibility.eligible(withLoad(endpoint), request, nowMillis);
    }

    /**
     * Returns whether an endpoint is ejected because of recent failures. Ejected endpoints are used only if there are
     * no others.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true until the ejection ends
     */
    public boolean ejected(EndpointRegistration endpoint, long nowMillis) {
        return load(endpoint.start()).failures().ejected(nowMillis);
    }

    /**
     * Returns how long a request may wait for a free slot and still meet its objective.
     *
     * @param request the request to send
     * @return milliseconds; 0 or less if it must not wait
     */
    public long maxSlotWaitMillis(RoutingRequest request) {
        return EndpointCapacity.maxSlotWaitMillis(request);
    }
}
