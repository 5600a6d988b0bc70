package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.micabarrow.limits.EndpointLimit;
import org.micabarrow.limits.KnownEntries;

/**
 * Selects the endpoint with the shortest predicted time to the first event, with a preference for the entry's own
 * region. Selects none if the objective cannot be met. Not thread-safe: confined to one thread.
 */
public final class EndpointChoice {

    /**
     * Penalty for sending a request to another region, in milliseconds of delay. Traffic between regions is billed;
     * relative to the value of a request its price corresponds to a few hundredths of the objective.
     */
    private static final double OTHER_REGION_MILLIS = 60;

    /**
     * Time without contact after which an endpoint of the entry's own region is passed over, in milliseconds: two lost
     * queries.
     */
    private static final long NEAR_SILENCE_MILLIS = 400;

    /** As above for other regions, whose agents are queried less often. */
    private static final long FAR_SILENCE_MILLIS = 1_000;

    private final Map<EndpointStart, EndpointLoad> loads = new HashMap<>();
    private final LeavingStarts leaving = new LeavingStarts();
    private final UnmetDemand unmet = new UnmetDemand();
    private final KnownEntries entries = new KnownEntries();
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private final Map<String, String> regions;
    private final String region;

    /**
     * Creates a selector without any load information.
     *
     * @param region the entry's region
     * @param regions the region of each data hall
     */
    public EndpointChoice(String region, Map<String, String> regions) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.regions = Map.copyOf(regions);
    }

    /**
     * Returns the load of one start of an endpoint. Load of earlier starts does not carry over.
     *
     * @param start the endpoint's start
     * @return its mutable load
     */
    public EndpointLoad load(EndpointStart start) {
        return loads.computeIfAbsent(start, key -> new EndpointLoad(new EndpointLimit(key.id(), entries, random)));
    }

    /**
     * Returns the load of an endpoint that does not report its start time.
     *
     * @param id the endpoint's id
     * @return its mutable load
     */
    public EndpointLoad load(String id) {
        return load(EndpointStart.untold(id));
    }

    /**
     * Returns whether requests of this entry are in flight at an endpoint.
     *
     * @param start the endpoint's start
     * @return false if there are none, or the endpoint is unknown
     */
    public boolean awaits(EndpointStart start) {
        EndpointLoad load = loads.get(start);
        return load != null && !load.idle();
    }

    /**
     * Forgets endpoints that are no longer listed or have restarted, once no request is in flight there. Endpoints with
     * requests in flight are kept, so that their unresponsiveness can still be detected.
     *
     * @param present the listed endpoints
     */
    public void keepOnly(Collection<EndpointEntry> present) {
        Set<EndpointStart> starts = present.stream().map(EndpointEntry::start).collect(Collectors.toSet());
        loads.entrySet()
                .removeIf(entry ->
                        !starts.contains(entry.getKey()) && entry.getValue().idle());
    }

    // -- draining

    /**
     * Records that an endpoint stated in a response that it is draining.
     *
     * @param start the endpoint's start
     * @return false if this was recorded before
     */
    public boolean saidThatItLeaves(EndpointStart start) {
        return leaving.add(start);
    }

    /**
     * Returns whether an endpoint accepts no new requests, according to its registration, its responses or its agent.
     *
     * @param endpoint the endpoint
     * @return true if any of them says so
     */
    public boolean leaves(EndpointEntry endpoint) {
        return leaves(known(endpoint));
    }

    private boolean leaves(KnownEndpoint one) {
        return one.endpoint().leaving()
                || leaving.contains(one.endpoint().start())
                || one.load().toldThatItLeaves();
    }

    /**
     * Returns the recent demand that this entry could not serve for lack of capacity.
     *
     * @return the mutable count of refused model requests
     */
    public UnmetDemand unmet() {
        return unmet;
    }

    /**
     * Returns the number of entries among which rate limits are divided.
     *
     * @return the mutable count, as reported by agents
     */
    public KnownEntries entries() {
        return entries;
    }

    // -- selection

    /**
     * Returns whether an endpoint's rate limit allows this entry a request now.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true also if the endpoint has no rate limit
     */
    public boolean withinLimit(EndpointEntry endpoint, long nowMillis) {
        return known(endpoint).withinLimit(nowMillis);
    }

    /**
     * Selects an endpoint.
     *
     * @param candidates the service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return the selection
     */
    public Choice choose(List<EndpointEntry> candidates, Wanted wanted, long nowMillis) {
        List<KnownEndpoint> known = known(candidates);
        List<KnownEndpoint> able = KnownEndpoint.keep(known, one -> able(one, wanted, nowMillis));
        OptionalLong allRest = KnownEndpoint.allRestMillis(able, nowMillis);
        if (allRest.isPresent()) {
            return new Choice.Resting(able.size(), allRest.getAsLong());
        }
        List<KnownEndpoint> awake = KnownEndpoint.keep(able, one -> !one.rests(nowMillis));
        List<KnownEndpoint> open = KnownEndpoint.keep(awake, one -> one.withinLimit(nowMillis));
        if (open.isEmpty() && !awake.isEmpty()) {
            return new Choice.Limited(awake.size(), KnownEndpoint.firstWithinLimitMillis(awake, nowMillis));
        }
        List<KnownEndpoint> pool = pool(known, open, nowMillis);
        return pool.isEmpty() ? new Choice.None() : first(pool, wanted, nowMillis);
    }

    /** Selects the endpoint with the shortest predicted time to the first event among those with capacity. */
    private Choice first(List<KnownEndpoint> pool, Wanted wanted, long nowMillis) {
        Choice first = new Choice.Full(pool.size());
        double least = Double.POSITIVE_INFINITY;
        for (KnownEndpoint one : pool) {
            if (EndpointRoom.isFor(wanted, one.endpoint(), one.load(), nowMillis)) {
                double predicted = EndpointRoom.predictedMillis(wanted, one.endpoint(), one.load(), nowMillis);
                double counted = predicted + distance(one.endpoint());
                if (counted < least) {
                    least = counted;
                    first = new Choice.Send(one.endpoint(), predicted);
                }
            }
        }
        return first;
    }

    private KnownEndpoint known(EndpointEntry endpoint) {
        return new KnownEndpoint(endpoint, load(endpoint.start()));
    }

    private List<KnownEndpoint> known(List<EndpointEntry> endpoints) {
        List<KnownEndpoint> known = new ArrayList<>(endpoints.size());
        endpoints.forEach(endpoint -> known.add(known(endpoint)));
        return known;
    }

    /**
     * Returns whether an endpoint has asked this process for a backoff that is still active.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true until the backoff ends
     */
    public boolean rests(EndpointEntry endpoint, long nowMillis) {
        return known(endpoint).rests(nowMillis);
    }

    /**
     * Returns the time until the first of the eligible endpoints ends its backoff.
     *
     * @param candidates a service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds; empty if an eligible endpoint is not in backoff, or none is eligible
     */
    public OptionalLong allRestMillis(List<EndpointEntry> candidates, Wanted wanted, long nowMillis) {
        return KnownEndpoint.allRestMillis(
                KnownEndpoint.keep(known(candidates), one -> able(one, wanted, nowMillis)), nowMillis);
    }

    /**
     * Returns the endpoints to select from. Endpoints with failures or a slow link are used only if there are no
     * others. Unresponsive endpoints are used only if there is no recent contact with any endpoint of the service: then
     * it is more likely that this entry itself is cut off.
     */
    private List<KnownEndpoint> pool(List<KnownEndpoint> candidates, List<KnownEndpoint> able, long nowMillis) {
        List<KnownEndpoint> heard = KnownEndpoint.keep(able, one -> !silent(one, nowMillis));
        List<KnownEndpoint> well = KnownEndpoint.keep(heard, one -> one.well(nowMillis));
        if (!well.isEmpty()) {
            return well;
        }
        boolean hearing = candidates.stream().anyMatch(one -> one.load().toldLately(nowMillis));
        return hearing || !heard.isEmpty() ? heard : able;
    }

    /**
     * Returns whether contact with an endpoint is lost.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true if its agent has reported before, and neither the endpoint nor its agent has been heard from within
     *     the timeout
     */
    public boolean silent(EndpointEntry endpoint, long nowMillis) {
        return silent(known(endpoint), nowMillis);
    }

    private boolean silent(KnownEndpoint one, long nowMillis) {
        return one.load().silent(patienceMillis(one.endpoint()), nowMillis);
    }

    private long patienceMillis(EndpointEntry endpoint) {
        return near(endpoint) ? NEAR_SILENCE_MILLIS : FAR_SILENCE_MILLIS;
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
    public boolean mustAsk(EndpointEntry endpoint, Wanted wanted) {
        return load(endpoint.start()).hasAgent()
                && wanted.model()
                        .filter(model -> known(endpoint).version(model) < wanted.newestVersion())
                        .isPresent();
    }

    /**
     * Returns whether an endpoint may get a request at all, regardless of its load.
     *
     * @param endpoint the endpoint
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return false if it is draining, was tried, or does not hold a version that may respond
     */
    public boolean able(EndpointEntry endpoint, Wanted wanted, long nowMillis) {
        return able(known(endpoint), wanted, nowMillis);
    }

    private boolean able(KnownEndpoint one, Wanted wanted, long nowMillis) {
        if (leaves(one) || wanted.tried().contains(one.endpoint().id())) {
            return false;
        }
        if (wanted.model().isEmpty()) {
            return true;
        }
        long held = one.version(wanted.model().get());
        EndpointLoad load = one.load();
        // Requests delayed by a slow link may arrive when the older version may no longer respond.
        boolean linkInDoubt = load.unanswered()
                || load.delayedLately(nowMillis)
                || load.agentSilent(patienceMillis(one.endpoint()), nowMillis);
        boolean mayComeTooLate = held < wanted.newestVersion() && linkInDoubt;
        return held > 0
                && held >= wanted.leastVersion()
                && !mayComeTooLate
                && !load.startedAgain()
                && !load.loading(nowMillis);
    }

    /**
     * Returns whether an endpoint is ejected because of recent failures. Ejected endpoints are used only if there are
     * no others.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the monotonic clock
     * @return true until the ejection ends
     */
    public boolean failing(EndpointEntry endpoint, long nowMillis) {
        return load(endpoint.start()).failures().excluded(nowMillis);
    }

    /**
     * Returns how long a request may wait for a free slot and still meet its objective.
     *
     * @param request the request to send
     * @return milliseconds; 0 or less if it must not wait
     */
    public long spareMillis(Wanted wanted) {
        return EndpointRoom.spareMillis(wanted);
    }

    private double distance(EndpointEntry endpoint) {
        return near(endpoint) ? 0 : OTHER_REGION_MILLIS;
    }

    private boolean near(EndpointEntry endpoint) {
        return region.equals(regions.get(endpoint.dataHall()));
    }
}
