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
import org.micabarrow.limits.EndpointRateLimit;
import org.micabarrow.limits.EntryCount;

/**
 * Chooses the endpoint for a request: the one that is expected to answer first, with a preference for the entry's own
 * region, and none at all if the objective could not be met. Used by one thread.
 */
public final class EndpointSelector {

    /**
     * What sending to another region counts as, in milliseconds of delay. Bytes between regions are paid for; in relation
     * to a request's worth the price is that of a few hundredths of its objective.
     */
    private static final double OTHER_REGION_MILLIS = 60;

    /** How long an agent of the entry's region may be silent before its endpoint is passed over: two questions lost. */
    private static final long NEAR_SILENCE_MILLIS = 400;

    /** As above for agents of other regions, which are asked less often. */
    private static final long FAR_SILENCE_MILLIS = 1_000;

    private final Map<EndpointStart, EndpointLoad> loads = new HashMap<>();
    private final DrainingEndpoints leaving = new DrainingEndpoints();
    private final UnmetDemand unmet = new UnmetDemand();
    private final EntryCount entries = new EntryCount();
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private final Map<String, String> regions;
    private final String region;

    /**
     * Makes a choice that knows nothing of any load.
     *
     * @param region the entry's region
     * @param regions the region of each data hall
     */
    public EndpointSelector(String region, Map<String, String> regions) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.regions = Map.copyOf(regions);
    }

    /**
     * What is known of an endpoint's load.
     *
     * @param start the endpoint's start; what was known of a former one holds no more
     * @return its load, to be updated
     */
    public EndpointLoad load(EndpointStart start) {
        return loads.computeIfAbsent(start, key -> new EndpointLoad(new EndpointRateLimit(key.id(), entries, random)));
    }

    /**
     * What is known of the load of an endpoint that does not tell when it was started.
     *
     * @param id the endpoint's id
     * @return its load, to be updated
     */
    public EndpointLoad load(String id) {
        return load(EndpointStart.untold(id));
    }

    /**
     * Whether own requests wait at an endpoint.
     *
     * @param start the endpoint's start
     * @return false if none does, or nothing is known of it
     */
    public boolean awaits(EndpointStart start) {
        EndpointLoad load = loads.get(start);
        return load != null && !load.idle();
    }

    /**
     * Forgets endpoints that are gone or have started again, once no request waits there any more: what still does must be seen
     * to have fallen silent.
     *
     * @param present those that are listed
     */
    public void keepOnly(Collection<EndpointRegistration> present) {
        Set<EndpointStart> starts = present.stream().map(EndpointRegistration::start).collect(Collectors.toSet());
        loads.entrySet()
                .removeIf(
                        one -> !starts.contains(one.getKey()) && one.getValue().idle());
    }

    // -- leaving

    /**
     * An endpoint said in an answer that it leaves.
     *
     * @param start the endpoint's start
     * @return false if it had said so before
     */
    public boolean saidThatItLeaves(EndpointStart start) {
        return leaving.add(start);
    }

    /**
     * Whether an endpoint takes nothing new, by its entry, its answers or its agent.
     *
     * @param endpoint the endpoint
     * @return true if one of them says so
     */
    public boolean leaves(EndpointRegistration endpoint) {
        return leaves(known(endpoint));
    }

    private boolean leaves(EndpointCandidate one) {
        return one.endpoint().leaving()
                || leaving.contains(one.endpoint().start())
                || one.load().toldThatItLeaves();
    }

    /**
     * How many requests for models this entry lately had to turn away for want of room.
     *
     * @return the count, to be kept
     */
    public UnmetDemand unmet() {
        return unmet;
    }

    /**
     * How many entries there are, which share the limits of endpoints.
     *
     * @return what agents told, to be updated
     */
    public EntryCount entries() {
        return entries;
    }

    // -- choosing

    /**
     * Whether an endpoint's limit allows this entry a request now.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the steady clock
     * @return true also if it has none
     */
    public boolean withinLimit(EndpointRegistration endpoint, long nowMillis) {
        return known(endpoint).withinLimit(nowMillis);
    }

    /**
     * Chooses.
     *
     * @param candidates the service's endpoints
     * @param wanted what is to be sent
     * @param nowMillis the time on the steady clock
     * @return the choice
     */
    public EndpointSelection choose(List<EndpointRegistration> candidates, Wanted wanted, long nowMillis) {
        List<EndpointCandidate> known = known(candidates);
        List<EndpointCandidate> able = EndpointCandidate.keep(known, one -> able(one, wanted, nowMillis));
        OptionalLong allRest = EndpointCandidate.allRestMillis(able, nowMillis);
        if (allRest.isPresent()) {
            return new EndpointSelection.Resting(able.size(), allRest.getAsLong());
        }
        List<EndpointCandidate> awake = EndpointCandidate.keep(able, one -> !one.rests(nowMillis));
        List<EndpointCandidate> open = EndpointCandidate.keep(awake, one -> one.withinLimit(nowMillis));
        if (open.isEmpty() && !awake.isEmpty()) {
            return new EndpointSelection.Limited(awake.size(), EndpointCandidate.firstWithinLimitMillis(awake, nowMillis));
        }
        List<EndpointCandidate> pool = pool(known, open, nowMillis);
        return pool.isEmpty() ? new EndpointSelection.None() : first(pool, wanted, nowMillis);
    }

    /** The endpoint of some that is expected to answer first, if any of them has room. */
    private EndpointSelection first(List<EndpointCandidate> pool, Wanted wanted, long nowMillis) {
        EndpointSelection first = new EndpointSelection.Full(pool.size());
        double least = Double.POSITIVE_INFINITY;
        for (EndpointCandidate one : pool) {
            if (EndpointCapacity.isFor(wanted, one.endpoint(), one.load(), nowMillis)) {
                double predicted = EndpointCapacity.predictedMillis(wanted, one.endpoint(), one.load(), nowMillis);
                double counted = predicted + distance(one.endpoint());
                if (counted < least) {
                    least = counted;
                    first = new EndpointSelection.Send(one.endpoint(), predicted);
                }
            }
        }
        return first;
    }

    private EndpointCandidate known(EndpointRegistration endpoint) {
        return new EndpointCandidate(endpoint, load(endpoint.start()));
    }

    private List<EndpointCandidate> known(List<EndpointRegistration> endpoints) {
        List<EndpointCandidate> known = new ArrayList<>(endpoints.size());
        endpoints.forEach(endpoint -> known.add(known(endpoint)));
        return known;
    }

    /**
     * Whether an endpoint has asked this process to send it nothing now.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the steady clock
     * @return true until the rest is over
     */
    public boolean rests(EndpointRegistration endpoint, long nowMillis) {
        return known(endpoint).rests(nowMillis);
    }

    /**
     * How long it takes until the first of some endpoints may be sent to again.
     *
     * @param candidates a service's endpoints
     * @param wanted what is to be sent
     * @param nowMillis the time on the steady clock
     * @return milliseconds; empty if one that may get the request does not rest, or none may get it
     */
    public OptionalLong allRestMillis(List<EndpointRegistration> candidates, Wanted wanted, long nowMillis) {
        return EndpointCandidate.allRestMillis(
                EndpointCandidate.keep(known(candidates), one -> able(one, wanted, nowMillis)), nowMillis);
    }

    /**
     * The endpoints to choose among. Those with failures or a slow link do if there are no others. Those that fell silent do only if no
     * endpoint of the service is heard of at all: then it is more likely that this entry does not hear.
     */
    private List<EndpointCandidate> pool(List<EndpointCandidate> candidates, List<EndpointCandidate> able, long nowMillis) {
        List<EndpointCandidate> heard = EndpointCandidate.keep(able, one -> !silent(one, nowMillis));
        List<EndpointCandidate> well = EndpointCandidate.keep(heard, one -> one.well(nowMillis));
        if (!well.isEmpty()) {
            return well;
        }
        boolean hearing = candidates.stream().anyMatch(one -> one.load().toldLately(nowMillis));
        return hearing || !heard.isEmpty() ? heard : able;
    }

    /**
     * Whether nothing is heard of an endpoint any more.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the steady clock
     * @return true if its agent used to tell, and it and its agent have been silent for too long
     */
    public boolean silent(EndpointRegistration endpoint, long nowMillis) {
        return silent(known(endpoint), nowMillis);
    }

    private boolean silent(EndpointCandidate one, long nowMillis) {
        return one.load().silent(patienceMillis(one.endpoint()), nowMillis);
    }

    private long patienceMillis(EndpointRegistration endpoint) {
        return near(endpoint) ? NEAR_SILENCE_MILLIS : FAR_SILENCE_MILLIS;
    }

    /**
     * Whether an endpoint's agent is to be asked before a request is sent there. An endpoint that still holds an older
     * version than was named must not get what it may begin after the version's bound: while its instance stands still,
     * requests wait in front of it, where only a reset of their connections takes them back.
     *
     * @param endpoint the endpoint
     * @param wanted what is to be sent
     * @return whether the endpoint holds an older version and has an agent
     */
    public boolean mustAsk(EndpointRegistration endpoint, Wanted wanted) {
        return load(endpoint.start()).hasAgent()
                && wanted.model()
                        .filter(model -> known(endpoint).version(model) < wanted.newestVersion())
                        .isPresent();
    }

    /**
     * Whether an endpoint may get a request at all, however full it is.
     *
     * @param endpoint the endpoint
     * @param wanted what is to be sent
     * @param nowMillis the time on the steady clock
     * @return false if it leaves, was tried, or does not hold a version that may answer
     */
    public boolean able(EndpointRegistration endpoint, Wanted wanted, long nowMillis) {
        return able(known(endpoint), wanted, nowMillis);
    }

    private boolean able(EndpointCandidate one, Wanted wanted, long nowMillis) {
        if (leaves(one) || wanted.tried().contains(one.endpoint().id())) {
            return false;
        }
        if (wanted.model().isEmpty()) {
            return true;
        }
        long held = one.version(wanted.model().get());
        EndpointLoad load = one.load();
        // What waits in a slow link may arrive when the older version may answer no more.
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
     * Whether an endpoint is left out, as long as there are others, because of how its last requests ended.
     *
     * @param endpoint the endpoint
     * @param nowMillis the time on the steady clock
     * @return true until its exclusion ends
     */
    public boolean failing(EndpointRegistration endpoint, long nowMillis) {
        return load(endpoint.start()).failures().excluded(nowMillis);
    }

    /**
     * How long a request may wait for room and still be in time.
     *
     * @param wanted what is to be sent
     * @return milliseconds; not above 0 if it may not wait
     */
    public long spareMillis(Wanted wanted) {
        return EndpointCapacity.spareMillis(wanted);
    }

    private double distance(EndpointRegistration endpoint) {
        return near(endpoint) ? 0 : OTHER_REGION_MILLIS;
    }

    private boolean near(EndpointRegistration endpoint) {
        return region.equals(regions.get(endpoint.dataHall()));
    }
}
