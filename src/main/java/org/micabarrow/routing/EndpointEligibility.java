package org.micabarrow.routing;

import java.util.Objects;

/**
 * Decides whether an endpoint may get a request at all, regardless of its load and limits. Not thread-safe: confined to
 * one thread.
 */
final class EndpointEligibility {

    /**
     * Time without contact after which an endpoint of the entry's own region is passed over, in milliseconds: two lost
     * queries.
     */
    private static final long OWN_REGION_CONTACT_TIMEOUT_MILLIS = 400;

    /** As above for other regions, whose agents are queried less often. */
    private static final long OTHER_REGION_CONTACT_TIMEOUT_MILLIS = 1_000;

    private final DrainingEndpoints draining = new DrainingEndpoints();
    private final PlacementFilter placement;
    private final String region;

    EndpointEligibility(String region, PlacementFilter placement) {
        this.region = Objects.requireNonNull(region, "region is null");
        this.placement = Objects.requireNonNull(placement, "placement is null");
    }

    PlacementFilter placement() {
        return placement;
    }

    boolean inOwnRegion(EndpointRegistration endpoint) {
        return placement.isIn(endpoint.dataHall(), region);
    }

    // -- draining

    /** Records that an endpoint stated that it is draining. Returns false if this was recorded before. */
    boolean markDraining(EndpointStart start) {
        return draining.add(start);
    }

    /** Returns whether an endpoint accepts no new requests, by its registration, its responses or its agent. */
    boolean isDraining(EndpointCandidate candidate) {
        return candidate.endpoint().draining()
                || draining.contains(candidate.endpoint().start())
                || candidate.load().reportedDraining();
    }

    // -- contact

    /** Returns whether contact with an endpoint and its agent is lost. */
    boolean unresponsive(EndpointCandidate candidate, long nowMillis) {
        return candidate.load().contact().unresponsive(contactTimeoutMillis(candidate.endpoint()), nowMillis);
    }

    private long contactTimeoutMillis(EndpointRegistration endpoint) {
        return inOwnRegion(endpoint) ? OWN_REGION_CONTACT_TIMEOUT_MILLIS : OTHER_REGION_CONTACT_TIMEOUT_MILLIS;
    }

    // -- requests

    /**
     * Returns whether an endpoint may get a request: it is not draining, was not tried, is in a place that is allowed,
     * and holds a version that may respond.
     */
    boolean eligible(EndpointCandidate candidate, RoutingRequest request, long nowMillis) {
        if (isDraining(candidate)
                || request.triedEndpoints().contains(candidate.endpoint().id())
                || !placement.allows(candidate.endpoint(), request.allowedRegions())) {
            return false;
        }
        if (request.model().isEmpty()) {
            return true;
        }
        long heldVersion = candidate.version(request.model().get());
        EndpointLoad load = candidate.load();
        // Requests delayed by a slow link may arrive when the older version may no longer respond.
        boolean linkUncertain = load.contact().hasUnansweredQuery()
                || load.contact().linkRecentlySlow(nowMillis)
                || load.contact().agentUnresponsive(contactTimeoutMillis(candidate.endpoint()), nowMillis);
        boolean mayArriveTooLate = heldVersion < request.newestVersion() && linkUncertain;
        return heldVersion > 0
                && heldVersion >= request.minVersion()
                && !mayArriveTooLate
                && !load.restarted()
                && !load.loading(nowMillis);
    }
}
