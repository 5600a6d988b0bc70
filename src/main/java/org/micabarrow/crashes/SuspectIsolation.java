package org.micabarrow.crashes;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.state.Digest;

/**
 * Keeps suspected causes apart, so that the next crash shows which of them brings it about, and so that a poison cause
 * crashes endpoints only one at a time. A request that was involved in one crash is sent to an endpoint without other
 * suspects of this process if possible; most such requests are harmless and must not wait. A request that was involved
 * in more crashes is sent only to such endpoints, one attempt at a time, and all processes try endpoints for it in the
 * same order. The same holds from the first crash for requests with a part on which no endpoint has answered. Not
 * thread-safe: confined to one thread.
 */
public final class SuspectIsolation {

    /** Number of crashes from which a request is sent only to endpoints without other suspects. */
    private static final int MIN_CRASHES_OF_REQUEST = 2;

    /** As above for a part of prompts: each request with it would bring the next crash, and they come at once. */
    private static final int MIN_CRASHES_OF_PART = 1;

    private final Map<EndpointStart, Map<Cause, Integer>> inFlight = new HashMap<>();

    /** Creates an isolation without suspects. */
    public SuspectIsolation() {}

    // -- requests in flight

    /**
     * Records that a request with a suspected cause is sent to an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param cause its most suspected cause
     */
    public void started(EndpointStart endpoint, Cause cause) {
        inFlight.computeIfAbsent(endpoint, key -> new HashMap<>()).merge(cause, 1, Integer::sum);
    }

    /**
     * Records that a request with a suspected cause is no longer in flight at an endpoint.
     *
     * @param endpoint the endpoint's start
     * @param cause the cause with which it was started
     */
    public void ended(EndpointStart endpoint, Cause cause) {
        inFlight.computeIfPresent(endpoint, (same, causes) -> {
            causes.computeIfPresent(cause, (key, count) -> count == 1 ? null : count - 1);
            return causes.isEmpty() ? null : causes;
        });
    }

    // -- selection

    /**
     * Returns whether a suspect must be isolated from others, even if it has to wait for that.
     *
     * @param suspected its level of suspicion
     * @return true if its cause was involved in enough crashes
     */
    public static boolean mustIsolate(SuspicionLevel.Suspected suspected) {
        return switch (suspected.cause()) {
            case RequestDigest ignored -> suspected.crashes() >= MIN_CRASHES_OF_REQUEST;
            case PromptPart ignored -> suspected.crashes() >= MIN_CRASHES_OF_PART;
        };
    }

    /**
     * Returns the endpoints without other suspects, in the order in which they are to be tried. Returns none for a
     * request that must be isolated while its cause is already in flight, or while another process may not know of the
     * last crash and would try it at the same time.
     *
     * @param endpoints all endpoints
     * @param suspected the request's level of suspicion
     * @return some of the endpoints
     */
    public List<EndpointRegistration> withoutOtherSuspects(
            List<EndpointRegistration> endpoints, SuspicionLevel.Suspected suspected) {
        Cause cause = suspected.cause();
        if (mustIsolate(suspected) && (suspected.untilReportedMillis() > 0 || isInFlight(cause))) {
            return List.of();
        }
        List<EndpointRegistration> available = endpoints.stream()
                .filter(endpoint -> !inFlight.containsKey(endpoint.start())
                        || inFlight.get(endpoint.start()).keySet().equals(Set.of(cause)))
                .toList();
        return mustIsolate(suspected) ? inStableOrder(available, cause) : available;
    }

    private boolean isInFlight(Cause cause) {
        return inFlight.values().stream().anyMatch(causes -> causes.containsKey(cause));
    }

    /** Returns an order that depends only on the cause and the endpoints, and differs from cause to cause. */
    private static List<EndpointRegistration> inStableOrder(List<EndpointRegistration> endpoints, Cause cause) {
        Map<EndpointRegistration, Long> ranks = new HashMap<>();
        endpoints.forEach(endpoint -> ranks.put(endpoint, Digest.rank(cause.toString(), endpoint.id())));
        return endpoints.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }
}
