package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.state.Digest;

/**
 * Keeps suspected requests apart, so that the next crash shows which of them causes it, and so that a poison request
 * crashes endpoints only one at a time. A request that was involved in one crash is sent to an endpoint without other
 * suspects of this process if possible; most such requests are harmless and must not wait. A request that was involved
 * in more crashes is sent only to such endpoints, one attempt at a time, and all processes try endpoints for it in the
 * same order. Not thread-safe: confined to one thread.
 */
public final class SuspectIsolation {

    /** Number of crashes from which a request is sent only to endpoints without other suspects. */
    private static final int MIN_ISOLATED_CRASHES = 2;

    private final Map<EndpointStart, Map<RequestDigest, Integer>> inFlight = new HashMap<>();

    /** Creates an isolation without suspects. */
    public SuspectIsolation() {}

    // -- requests in flight

    /**
     * Records that a suspected request is sent to an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param request the request
     */
    public void started(EndpointStart endpoint, RequestDigest request) {
        inFlight.computeIfAbsent(endpoint, key -> new HashMap<>()).merge(request, 1, Integer::sum);
    }

    /**
     * Records that a suspected request is no longer in flight at an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param request the request
     */
    public void ended(EndpointStart endpoint, RequestDigest request) {
        inFlight.computeIfPresent(endpoint, (same, requests) -> {
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
    public static boolean mustIsolate(SuspicionLevel.Suspected suspected) {
        return suspected.crashes() >= MIN_ISOLATED_CRASHES;
    }

    /**
     * Returns the endpoints without other suspects, in the order in which they are to be tried. Returns none for a
     * request that must be isolated while it is already in flight, or while another process may not know of its last
     * crash and would try it at the same time.
     *
     * @param endpoints all endpoints
     * @param request the request
     * @param suspected its level of suspicion
     * @return some of the endpoints
     */
    public List<EndpointRegistration> withoutOtherSuspects(
            List<EndpointRegistration> endpoints, RequestDigest request, SuspicionLevel.Suspected suspected) {
        Objects.requireNonNull(request, "request is null");
        if (mustIsolate(suspected) && (suspected.untilReportedMillis() > 0 || isInFlight(request))) {
            return List.of();
        }
        List<EndpointRegistration> available = endpoints.stream()
                .filter(endpoint -> !inFlight.containsKey(endpoint.start())
                        || inFlight.get(endpoint.start()).keySet().equals(Set.of(request)))
                .toList();
        return mustIsolate(suspected) ? inStableOrder(available, request) : available;
    }

    private boolean isInFlight(RequestDigest request) {
        return inFlight.values().stream().anyMatch(requests -> requests.containsKey(request));
    }

    /** Returns an order that depends only on the request and the endpoints, and differs from request to request. */
    private static List<EndpointRegistration> inStableOrder(
            List<EndpointRegistration> endpoints, RequestDigest request) {
        Map<EndpointRegistration, Long> ranks = new HashMap<>();
        endpoints.forEach(endpoint -> ranks.put(endpoint, Digest.rank(request.hex(), endpoint.id())));
        return endpoints.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }
}
