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
 * Keeps suspected requests apart, so that the next crash tells which of them causes it, and so that one of them ends no more
 * endpoints than one at a time. A request that was at one crash goes where no other suspect of this process is, if it can; most
 * such are harmless and must not wait. One that was at more goes only there, one at a time, and all processes try endpoints for
 * it in the same order. Used by one thread.
 */
public final class SuspectIsolation {

    /** From how many crashes on a request goes only where no other suspect is. */
    private static final int ALONE_FROM = 2;

    private final Map<EndpointStart, Map<RequestDigest, Integer>> there = new HashMap<>();

    /** Begins with no suspect anywhere. */
    public SuspectIsolation() {}

    // -- what is where

    /**
     * A suspected request is sent to an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param request the request
     */
    public void began(EndpointStart endpoint, RequestDigest request) {
        there.computeIfAbsent(endpoint, key -> new HashMap<>()).merge(request, 1, Integer::sum);
    }

    /**
     * A suspected request is at an endpoint no more.
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

    // -- where to

    /**
     * Whether a suspect has to be kept apart from others, even if it has to wait for that.
     *
     * @param suspected what is held of it
     * @return true if it was at more than one crash
     */
    public static boolean apart(SuspicionLevel.Suspected suspected) {
        return suspected.crashes() >= ALONE_FROM;
    }

    /**
     * The endpoints at which no other suspect is, in the order in which they are to be tried. None are, for a request that is to be
     * kept apart, while it runs already.
     *
     * @param endpoints the endpoints that there are
     * @param request the request
     * @param suspected what is held of it
     * @return some of the endpoints
     */
    public List<EndpointRegistration> free(
            List<EndpointRegistration> endpoints, RequestDigest request, SuspicionLevel.Suspected suspected) {
        Objects.requireNonNull(request, "request is null");
        if (apart(suspected) && runs(request)) {
            return List.of();
        }
        List<EndpointRegistration> free = endpoints.stream()
                .filter(endpoint -> !there.containsKey(endpoint.start())
                        || there.get(endpoint.start()).keySet().equals(Set.of(request)))
                .toList();
        return apart(suspected) ? inCommonOrder(free, request) : free;
    }

    private boolean runs(RequestDigest request) {
        return there.values().stream().anyMatch(requests -> requests.containsKey(request));
    }

    /** An order that depends on the request and the endpoints alone, and differs from request to request. */
    private static List<EndpointRegistration> inCommonOrder(List<EndpointRegistration> endpoints, RequestDigest request) {
        Map<EndpointRegistration, Long> ranks = new HashMap<>();
        endpoints.forEach(endpoint -> ranks.put(endpoint, Digest.rank(request.hex(), endpoint.id())));
        return endpoints.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }
}
