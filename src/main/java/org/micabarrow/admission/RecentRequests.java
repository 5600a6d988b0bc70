package org.micabarrow.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.micabarrow.routing.RequestSize;

/**
 * The recent requests of each route: how large they were, and which part of them was sent. Not thread-safe: confined to
 * one thread.
 */
public final class RecentRequests {

    /** Decay time of the counts, in milliseconds: long enough for some requests of a rare route. */
    private static final double DECAY_MILLIS = 4_000;

    /** The decayed number of requests below which the sent part says nothing. */
    private static final double MIN_REQUESTS = 3;

    /** The part of a route's requests from which on at least half of the largest tenth must be among those sent. */
    private static final double AMPLE_FRACTION = 0.95;

    /** The part of a route's requests below which all compete by a usual prompt. */
    private static final double SCARCE_FRACTION = 0.7;

    private final Map<String, RouteRequests> byRoute = new HashMap<>();

    private static final class RouteRequests {
        private final SizeDistribution weights = new SizeDistribution();
        private final SizeDistribution prompts = new SizeDistribution();
        private final DecayedCount sent = new DecayedCount(DECAY_MILLIS);
        private final DecayedCount refused = new DecayedCount(DECAY_MILLIS);

        /** Returns how far requests with long prompts compete by a usual one, from 0 to 1. */
        private double scarcity(long nowMillis) {
            double all = sent.value(nowMillis) + refused.value(nowMillis);
            double fraction = all < MIN_REQUESTS ? 1 : sent.value(nowMillis) / all;
            return Math.clamp((AMPLE_FRACTION - fraction) / (AMPLE_FRACTION - SCARCE_FRACTION), 0, 1);
        }
    }

    /** Creates a record without requests. */
    public RecentRequests() {}

    private RouteRequests of(String route) {
        return byRoute.computeIfAbsent(Objects.requireNonNull(route, "route is null"), name -> new RouteRequests());
    }

    // -- measurements

    /**
     * Records a request.
     *
     * @param route the name of its route
     * @param size its size
     * @return how large it is among the recent requests of the route
     */
    public SizeBand arrived(String route, RequestSize size) {
        RouteRequests requests = of(route);
        requests.weights.add(size.weight());
        requests.prompts.add(size.promptTokens());
        return requests.weights.band(size.weight());
    }

    /**
     * Records that a request was sent for the first time.
     *
     * @param route the name of its route
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(String route, long nowMillis) {
        of(route).sent.add(1, nowMillis);
    }

    /**
     * Records that a request was refused for lack of a slot.
     *
     * @param route the name of its route
     * @param nowMillis the time on the monotonic clock
     */
    public void refused(String route, long nowMillis) {
        of(route).refused.add(1, nowMillis);
    }

    // -- decisions

    /**
     * Returns the tokens of the prompt by which a request competes. The less of its route is sent, the closer a prompt that
     * is longer than the route's median comes to that.
     *
     * @param route the name of the route
     * @param promptTokens the tokens of the request's own prompt
     * @param nowMillis the time on the monotonic clock
     * @return at most the request's own
     */
    public int competingPromptTokens(String route, int promptTokens, long nowMillis) {
        RouteRequests requests = of(route);
        int usual = Math.min(promptTokens, requests.prompts.median().orElse(promptTokens));
        return (int) Math.round(promptTokens - requests.scarcity(nowMillis) * (promptTokens - usual));
    }
}
