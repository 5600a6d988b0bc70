package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.state.Digest;

/**
 * Keeps suspected requests apart, so that the next crash shows which of them causes it, and so that a poison request
 * crashes endpoints only one at a time. A request that was involved in one crash is sent to an endpoint without other
 * suspects of this process if possible; most such requests are harmless and must not wait. A request that was involved
 * in more crashes is sent only to such endpoints, one attempt at a time, and all processes try endpoints for it in the
 * same order. Not thread-safe: confined to one thread.
 */
public final class SuspectPlacement {

    /** Number of crashes from which a request is sent only to endpoints without other suspects. */
    private static final int ALONE_FROM = 2;

    private final Map<EndpointStart, Map<RequestDigest, Integer>> there = new HashMap<>();

    /** Creates an isolation without suspects. */
    public SuspectPlacement() {}

    // -- requests in flight

    /**
     * Records that a suspected request is sent to an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param request the request
     */
    public void began(EndpointStart endpoint, RequestDigest request) {
        there.computeIfAbsent(endpoint, key -> new HashMap<>()).merge(request, 1, Integer::sum);
    }

    /**
     * Records that a suspected request is no longer in flight at an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param request the request
     */
    public void ended(EndpointStart endpoint, RequestDigest request) {
        there.computeIfPresent(endpoint, (same, requests) -> {
            requests.computeIfPresent(request, (key, count) -> count == 1 ? null : count - 1);
            return requests.isEmpty() ? null : requests;
        });
    }

    // -- selection

    /**
     * Returns whether a suspect must be isolated from others, even if it has to wait for that.
     *
     * @param suspected its level of suspicion
     * @return true if it was involved in more than one crash
     */
    public static boolean apart(Standing.Suspected suspected) {
        return suspected.crashes() >= ALONE_FROM;
    }

    /**
     * Returns the endpoints without other suspects, in the order in which they are to be tried. Returns none for a
     * request that must be isolated while it is already in flight.
     *
     * @param endpoints all endpoints
     * @param request the request
     * @param suspected its level of suspicion
     * @return some of the endpoints
     */
    public List<EndpointEntry> free(
            List<EndpointEntry> endpoints, RequestDigest request, Standing.Suspected suspected) {
        Objects.requireNonNull(request, "request is null");
        if (apart(suspected) && runs(request)) {
            return List.of();
        }
        List<EndpointEntry> free = endpoints.stream()
                .filter(endpoint -> !there.containsKey(endpoint.start())
                        || there.get(endpoint.start()).keySet().equals(Set.of(request)))
                .toList();
        return apart(suspected) ? inCommonOrder(free, request) : free;
    }

    private boolean runs(RequestDigest request) {
        return there.values().stream().anyMatch(requests -> requests.containsKey(request));
    }

    /** Returns an order that depends only on the request and the endpoints, and differs from request to request. */
    private static List<EndpointEntry> inCommonOrder(List<EndpointEntry> endpoints, RequestDigest request) {
        Map<EndpointEntry, Long> ranks = new HashMap<>();
        endpoints.forEach(endpoint -> ranks.put(endpoint, Digest.rank(request.hex(), endpoint.id())));
        return endpoints.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }
}
