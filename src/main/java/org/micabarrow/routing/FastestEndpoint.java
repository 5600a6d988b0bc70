package org.micabarrow.routing;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Selects the endpoint with the shortest predicted time to the first event for one request at one time. Endpoints are
 * ruled out step by step: those that may not get the request, those in backoff, those at a limit, and those that do not
 * respond; what rules out the last ones is the result.
 */
final class FastestEndpoint {

    /**
     * Penalty for sending a request to another region, in milliseconds of delay. Traffic between regions is billed;
     * relative to the value of a request its price corresponds to a few hundredths of the objective.
     */
    private static final double OTHER_REGION_PENALTY_MILLIS = 60;

    private final EndpointEligibility eligibility;
    private final RoutingRequest request;
    private final long nowMillis;

    FastestEndpoint(EndpointEligibility eligibility, RoutingRequest request, long nowMillis) {
        this.eligibility = Objects.requireNonNull(eligibility, "eligibility is null");
        this.request = Objects.requireNonNull(request, "request is null");
        this.nowMillis = nowMillis;
    }

    /** Selects one of the service's endpoints. */
    EndpointSelection among(List<EndpointCandidate> candidates) {
        candidates.forEach(candidate -> candidate.noteColdStart(nowMillis));
        List<EndpointCandidate> eligible =
                EndpointCandidate.filter(candidates, candidate -> eligibility.eligible(candidate, request, nowMillis));
        OptionalLong untilBackoffEnds = EndpointCandidate.untilBackoffEndsMillis(eligible, nowMillis);
        if (untilBackoffEnds.isPresent()) {
            return new EndpointSelection.BackingOff(eligible.size(), untilBackoffEnds.getAsLong());
        }
        List<EndpointCandidate> available =
                EndpointCandidate.filter(eligible, candidate -> !candidate.inBackoff(nowMillis));
        List<EndpointCandidate> withinLimits =
                EndpointCandidate.filter(available, candidate -> candidate.withinLimits(nowMillis));
        if (withinLimits.isEmpty() && !available.isEmpty()) {
            return limited(available);
        }
        List<EndpointCandidate> usable = usable(candidates, withinLimits);
        return usable.isEmpty() ? limitedOnlyByCold(candidates, available) : fastest(usable);
    }

    // -- limits

    private EndpointSelection limitedOnlyByCold(List<EndpointCandidate> candidates, List<EndpointCandidate> available) {
        List<EndpointCandidate> onlyCold = usable(
                candidates, EndpointCandidate.filter(available, candidate -> candidate.limitedOnlyByCold(nowMillis)));
        return onlyCold.isEmpty() ? new EndpointSelection.NoneEligible() : limited(onlyCold);
    }

    private EndpointSelection limited(List<EndpointCandidate> limited) {
        List<EndpointCandidate> onlyCold =
                EndpointCandidate.filter(limited, candidate -> candidate.limitedOnlyByCold(nowMillis));
        return onlyCold.isEmpty()
                ? new EndpointSelection.RateLimited(
                        limited.size(), EndpointCandidate.untilLimitsAllowMillis(limited, nowMillis))
                : new EndpointSelection.Cold(
                        limited.size(), EndpointCandidate.untilLimitsAllowMillis(onlyCold, nowMillis));
    }

    // -- contact

    /**
     * Returns the endpoints to select from. Mute endpoints and those with failures or a slow link are used only if there
     * are no others. Unresponsive endpoints are used only if there is no recent contact with any endpoint of the
     * service: then it is more likely that this entry itself is cut off.
     */
    private List<EndpointCandidate> usable(List<EndpointCandidate> candidates, List<EndpointCandidate> allowed) {
        List<EndpointCandidate> responsive =
                EndpointCandidate.filter(allowed, candidate -> !eligibility.unresponsive(candidate, nowMillis));
        List<EndpointCandidate> healthy = EndpointCandidate.filter(
                responsive, candidate -> candidate.healthy(request.objectiveMillis(), nowMillis));
        if (!healthy.isEmpty()) {
            return healthy;
        }
        boolean anyRecentReport = candidates.stream()
                .anyMatch(candidate -> candidate.load().contact().hasRecentReport(nowMillis));
        return anyRecentReport || !responsive.isEmpty() ? responsive : allowed;
    }

    // -- speed

    private EndpointSelection fastest(List<EndpointCandidate> usable) {
        EndpointSelection best = new EndpointSelection.Full(usable.size());
        double lowestCost = Double.POSITIVE_INFINITY;
        double usualFactor = EndpointCandidate.usualEngineFactor(usable, nowMillis);
        for (EndpointCandidate candidate : usable) {
            if (EndpointCapacity.hasCapacity(request, candidate.endpoint(), candidate.load(), usualFactor, nowMillis)) {
                double predictedMillis =
                        EndpointCapacity.predictedMillis(request, candidate.endpoint(), candidate.load(), nowMillis);
                double cost = predictedMillis + regionPenaltyMillis(candidate.endpoint());
                if (cost < lowestCost) {
                    lowestCost = cost;
                    best = new EndpointSelection.Selected(candidate.endpoint(), predictedMillis);
                }
            }
        }
        return best;
    }

    private double regionPenaltyMillis(EndpointRegistration endpoint) {
        return eligibility.inOwnRegion(endpoint) ? 0 : OTHER_REGION_PENALTY_MILLIS;
    }
}
