package org.micabarrow.admission;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelection;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RoutingRequest;

/**
 * Decides whether a request is sent now, waits for a free slot while it can still meet its objective, or is refused.
 * Not thread-safe: confined to one thread.
 */
public final class AdmissionControl {

    /**
     * The fraction of its remaining time after which a refused client is told to retry. A request is refused when its
     * response can no longer be in time, so an earlier retry gains nothing. A later one leaves more time for the cause
     * to pass: an endpoint that restarts, or a weight version that is being loaded, needs a second or two. Clients
     * respect up to a third.
     */
    private static final double RETRY_AFTER_FRACTION = 0.3;

    private final EndpointSelector selector;

    /**
     * Creates the admission control of an entry.
     *
     * @param selector selects endpoints and knows their load
     */
    public AdmissionControl(EndpointSelector selector) {
        this.selector = Objects.requireNonNull(selector, "selector is null");
    }

    /** What happens to a request. */
    public sealed interface Decision {

        /**
         * The request is sent.
         *
         * @param selection the selected endpoint
         */
        record Send(EndpointSelection.Selected selection) implements Decision {}

        /**
         * The request waits for a free slot.
         *
         * @param millis how long it may wait and still meet its objective, in milliseconds
         * @param endpoints the number of endpoints that could serve it if they had capacity
         */
        record Wait(long millis, int endpoints) implements Decision {}

        /**
         * The request is refused, because it cannot meet its objective wherever a slot becomes free.
         *
         * @param endpoints the number of endpoints that could serve it if they had capacity
         */
        record Full(int endpoints) implements Decision {}

        /**
         * The request is refused, because all eligible endpoints are in backoff for longer than it may wait.
         *
         * @param endpoints the number of eligible endpoints
         * @param millis the time until the first backoff ends, in milliseconds
         */
        record BackingOff(int endpoints, long millis) implements Decision {}

        /**
         * The request is refused, because this entry has used up its quota share at all eligible endpoints, and it
         * cannot wait until a cold one may be sent another request.
         *
         * @param endpoints the number of eligible endpoints
         * @param millis the time until one of them may be sent another request, in milliseconds; empty if their rate
         *     limits are left entirely to other entries
         */
        record RateLimited(int endpoints, OptionalLong millis) implements Decision {}

        /** The request is refused, because no endpoint can serve it. */
        record Unable() implements Decision {}

        /**
         * The request is refused, because it, or a part of its prompt, crashes the endpoints that run it.
         *
         * @param cause describes what crashes them
         * @param crashes the number of crashes attributed to it
         * @param forMillis how long it is refused, in milliseconds
         */
        record PoisonRequest(String cause, int crashes, long forMillis) implements Decision {}
    }

    /**
     * Decides what happens to a request.
     *
     * @param endpoints the service's endpoints
     * @param request the request to send
     * @param nowMillis the time on the monotonic clock
     * @return the decision
     */
    public Decision decide(List<EndpointRegistration> endpoints, RoutingRequest request, long nowMillis) {
        return switch (selector.select(endpoints, request, nowMillis)) {
            case EndpointSelection.Selected selected -> new Decision.Send(selected);
            case EndpointSelection.NoneEligible ignored -> new Decision.Unable();
            case EndpointSelection.Full(int full) -> withoutFreeSlot(full, request);
            case EndpointSelection.RateLimited(int limited, OptionalLong millis) ->
                new Decision.RateLimited(limited, millis);
            case EndpointSelection.Cold(int limited, OptionalLong millis) -> whileCold(limited, millis, request);
            case EndpointSelection.BackingOff(int inBackoff, long millis) ->
                whileAllBackOff(inBackoff, millis, request);
        };
    }

    private Decision whileCold(int limited, OptionalLong millis, RoutingRequest request) {
        long maxWaitMillis = selector.maxSlotWaitMillis(request);
        return millis.isPresent() && maxWaitMillis > millis.getAsLong()
                ? new Decision.Wait(maxWaitMillis, limited)
                : new Decision.RateLimited(limited, millis);
    }

    private Decision whileAllBackOff(int inBackoff, long millis, RoutingRequest request) {
        long maxWaitMillis = selector.maxSlotWaitMillis(request);
        return maxWaitMillis > millis
                ? new Decision.Wait(maxWaitMillis, inBackoff)
                : new Decision.BackingOff(inBackoff, millis);
    }

    /**
     * Decides what happens to a request for which there is no free slot now.
     *
     * @param full the number of endpoints that could serve it if they had capacity
     * @param request the request to send
     * @return a wait, or a refusal if the request can no longer meet its objective
     */
    public Decision withoutFreeSlot(int full, RoutingRequest request) {
        long maxWaitMillis = selector.maxSlotWaitMillis(request);
        return maxWaitMillis > 0 ? new Decision.Wait(maxWaitMillis, full) : new Decision.Full(full);
    }

    /**
     * Returns the time after which a refused client is told to retry.
     *
     * @param remainingMillis how long the client will still wait, in milliseconds
     * @return milliseconds from now, at least 1
     */
    public static long retryAfterMillis(long remainingMillis) {
        return Math.max(1, Math.round(remainingMillis * RETRY_AFTER_FRACTION));
    }
}
