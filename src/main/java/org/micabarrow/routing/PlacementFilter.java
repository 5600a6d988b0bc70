package org.micabarrow.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Decides at which endpoints a request may be handled, by the data halls in which they are. An endpoint in a data hall
 * of unknown region gets no request that is restricted to regions. An endpoint in an evacuated data hall gets no new
 * request; what runs there ends by itself.
 */
public final class PlacementFilter {

    private final Map<String, String> regions;
    private final Supplier<Set<String>> evacuatedHalls;

    private PlacementFilter(Map<String, String> regions, Supplier<Set<String>> evacuatedHalls) {
        this.regions = Map.copyOf(Objects.requireNonNull(regions, "regions is null"));
        this.evacuatedHalls = Objects.requireNonNull(evacuatedHalls, "evacuatedHalls is null");
    }

    /**
     * Creates a filter for a deployment in which no data hall is ever evacuated.
     *
     * @param regions the region of each data hall
     * @return the filter
     */
    public static PlacementFilter of(Map<String, String> regions) {
        return new PlacementFilter(regions, Set::of);
    }

    /**
     * Creates a filter.
     *
     * @param regions the region of each data hall
     * @param evacuatedHalls supplies the data halls that are evacuated now
     * @return the filter
     */
    public static PlacementFilter of(Map<String, String> regions, Supplier<Set<String>> evacuatedHalls) {
        return new PlacementFilter(regions, evacuatedHalls);
    }

    /** Returns whether a data hall is in a region; false for an unknown data hall. */
    boolean isIn(String dataHall, String region) {
        return region.equals(regions.get(dataHall));
    }

    /**
     * Returns whether an endpoint may get a request.
     *
     * @param endpoint the endpoint
     * @param allowed the regions in which the request may be handled
     * @return true if its data hall is in one of them and is not evacuated
     */
    public boolean allows(EndpointRegistration endpoint, AllowedRegions allowed) {
        return inAllowedRegion(endpoint, allowed) && !evacuated(endpoint);
    }

    private boolean inAllowedRegion(EndpointRegistration endpoint, AllowedRegions allowed) {
        return allowed.regions().isEmpty() || allowed.allows(regions.get(endpoint.dataHall()));
    }

    private boolean evacuated(EndpointRegistration endpoint) {
        return evacuatedHalls.get().contains(endpoint.dataHall());
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
        List<EndpointRegistration> inAllowedRegion = endpoints.stream()
                .filter(endpoint -> inAllowedRegion(endpoint, allowed))
                .toList();
        return Optional.of(
                inAllowedRegion.isEmpty()
                        ? "no endpoint is in a region that is allowed for it, allowed are "
                                + new TreeSet<>(allowed.regions().orElse(Set.of()))
                        : "the data halls of all " + inAllowedRegion.size() + " endpoints are evacuated");
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
