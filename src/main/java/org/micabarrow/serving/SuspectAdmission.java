package org.micabarrow.serving;

import java.util.List;
import java.util.stream.Collectors;
import org.micabarrow.admission.AdmissionControl;
import org.micabarrow.admission.AdmissionControl.Decision;
import org.micabarrow.crashes.Cause;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.RequestCauses;
import org.micabarrow.crashes.SuspectIsolation;
import org.micabarrow.crashes.SuspicionLevel;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.routing.RoutingRequest;

/**
 * Decides how to handle a request with regard to the endpoint crashes in which it, or a part of its prompt, was
 * involved: requests with a poison cause are refused, and suspects are kept apart. While no crash is known, digests are
 * not computed. Used by the traffic thread.
 */
final class SuspectAdmission {

    private static final SuspicionLevel UNSUSPECTED = new SuspicionLevel.Unsuspected();

    private final CrashRegistry registry;
    private final EndpointSelector selector;
    private final AdmissionControl admission;
    private final SuspectIsolation isolation = new SuspectIsolation();

    SuspectAdmission(CrashRegistry registry, EndpointSelector selector, AdmissionControl admission) {
        this.registry = registry;
        this.selector = selector;
        this.admission = admission;
    }

    /** What is known about a request's involvement in crashes. */
    SuspicionLevel suspicion(RequestCauses causes, long nowMillis) {
        return registry.mayBeSuspect(causes) ? registry.suspicion(causes, nowMillis) : UNSUSPECTED;
    }

    /** Records that a request is sent; the returned action must run once the request has left its endpoint. */
    Runnable onSent(EndpointRegistration endpoint, RequestCauses causes, long nowMillis) {
        if (!(suspicion(causes, nowMillis) instanceof SuspicionLevel.Suspected suspected)) {
            return () -> {};
        }
        isolation.started(endpoint.start(), suspected.cause());
        return () -> isolation.ended(endpoint.start(), suspected.cause());
    }

    // -- routing

    /** Decides how to handle a request. */
    Decision decide(
            List<EndpointRegistration> endpoints, RoutingRequest routingRequest, RequestCauses causes, long nowMillis) {
        return switch (suspicion(causes, nowMillis)) {
            case SuspicionLevel.Unsuspected ignored -> admission.decide(endpoints, routingRequest, nowMillis);
            case SuspicionLevel.Refused refused -> refusal(refused);
            case SuspicionLevel.Suspected suspected
            when SuspectIsolation.mustIsolate(suspected) && suspected.untilReportedMillis() > 0 ->
                untilReported(suspected, endpoints.size(), routingRequest);
            case SuspicionLevel.Suspected suspected -> {
                List<EndpointRegistration> available = isolation.withoutOtherSuspects(endpoints, suspected);
                yield SuspectIsolation.mustIsolate(suspected)
                        ? decideFirst(available, endpoints, routingRequest, nowMillis)
                        : decidePreferring(available, endpoints, routingRequest, nowMillis);
            }
        };
    }

    /** The decision to refuse a request, with the causes named for the client and the log. */
    static Decision.PoisonRequest refusal(SuspicionLevel.Refused refused) {
        String cause =
                refused.causes().stream().map(Cause::description).sorted().collect(Collectors.joining(" or "));
        return new Decision.PoisonRequest(cause, refused.crashes(), refused.forMillis());
    }

    private static Decision untilReported(
            SuspicionLevel.Suspected suspected, int endpoints, RoutingRequest routingRequest) {
        long maxWaitMillis = Math.min(suspected.untilReportedMillis(), routingRequest.remainingMillis());
        return maxWaitMillis > 0 ? new Decision.Wait(maxWaitMillis, endpoints) : new Decision.Full(endpoints);
    }

    private Decision decidePreferring(
            List<EndpointRegistration> available,
            List<EndpointRegistration> endpoints,
            RoutingRequest routingRequest,
            long nowMillis) {
        Decision decision = admission.decide(available, routingRequest, nowMillis);
        return decision instanceof Decision.Send ? decision : admission.decide(endpoints, routingRequest, nowMillis);
    }

    /**
     * Chooses the first of the given endpoints that has a free slot. If none has, the request waits, even if other
     * endpoints have free slots.
     */
    private Decision decideFirst(
            List<EndpointRegistration> available,
            List<EndpointRegistration> endpoints,
            RoutingRequest routingRequest,
            long nowMillis) {
        for (EndpointRegistration endpoint : available) {
            boolean healthy = !selector.ejected(endpoint, nowMillis);
            if (healthy
                    && admission.decide(List.of(endpoint), routingRequest, nowMillis) instanceof Decision.Send send) {
                return send;
            }
        }
        Decision elsewhere = admission.decide(endpoints, routingRequest, nowMillis);
        return elsewhere instanceof Decision.Send
                ? admission.withoutFreeSlot(endpoints.size(), routingRequest)
                : elsewhere;
    }
}
