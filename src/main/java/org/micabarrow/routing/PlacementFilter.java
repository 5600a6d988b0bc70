package org.micabarrow.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides at which endpoints a request may be handled, by the data halls in which they are. An endpoint in a data hall
 * of unknown region gets no request that is restricted to regions. Immutable.
 */
public final class PlacementFilter {

    private final Map<String, String> regions;

    private PlacementFilter(Map<String, String> regions) {
        this.regions = Map.copyOf(Objects.requireNonNull(regions, "regions is null"));
    }

    /**
     * Creates a filter.
     *
     * @param regions the region of each data hall
     * @return the filter
     */
    public static PlacementFilter of(Map<String, String> regions) {
        return new PlacementFilter(regions);
    }

    /**
     * Returns the region of a data hall.
     *
     * @param dataHall the data hall
     * @return its region, empty for an unknown data hall
     */
    public Optional<String> region(String dataHall) {
        return Optional.ofNullable(regions.get(dataHall));
    }

    /**
     * Returns whether an endpoint may get a request.
     *
     * @param endpoint the endpoint
     * @param allowed the regions in which the request may be handled
     * @return true if its data hall is in one of them
     */
    public boolean allows(EndpointRegistration endpoint, AllowedRegions allowed) {
        return allowed.allows(regions.get(endpoint.dataHall()));
    }

    /**
     * Returns why none of a service's endpoints may get a request, for the client and the log.
     *
     * @param endpoints the service's endpoints
     * @param allowed the regions in which the request may be handled
     * @return the reason; empty if an endpoint may get it, or there are none at all
     */
    public Optional<String> refusalReason(Collection<EndpointRegistration> endpoints, AllowedRegions allowed) {
        if (endpoints.isEmpty() || endpoints.stream().anyMatch(endpoint -> allows(endpoint, allowed))) {
            return Optional.empty();
        }
        return Optional.of("no endpoint is in a region that is allowed for it, allowed are "
                + new TreeSet<>(allowed.regions().orElse(Set.of())));
    }

    /**
     * Returns the regions that a manifest allows but in which there is no data hall, so that no request is handled
     * there.
     *
     * @param manifest the manifest
     * @return the unknown regions in alphabetical order
     */
    public Set<String> unknownRegions(RouteManifest manifest) {
        Set<String> unknown = new TreeSet<>(manifest.namedRegions());
        unknown.removeAll(Set.copyOf(regions.values()));
        return unknown;
    }
}
