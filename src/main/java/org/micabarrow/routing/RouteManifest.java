package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One version of the operators' manifest: routes, services, keys and request limits. Immutable. */
public final class RouteManifest {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Service> services;
    private final Map<String, KeyOwner> owners;
    private final boolean keysRequired;
    private final long maxBodyBytes;
    private final Map<String, AllowedRegions> regionsByOrganisation;
    private final Set<String> namedRegions;

    private RouteManifest(Parts parts) {
        this.version = parts.version();
        this.routesByHost = byHost(parts.routes());
        this.services = Map.copyOf(parts.services());
        this.owners = Map.copyOf(parts.owners());
        this.keysRequired = parts.keysRequired();
        this.maxBodyBytes = parts.maxBodyBytes();
        this.regionsByOrganisation = byOrganisation(parts.owners().values());
        this.namedRegions = Stream.concat(
                        parts.routes().stream().map(Route::allowedRegions), regionsByOrganisation.values().stream())
                .flatMap(allowed -> allowed.regions().stream())
                .flatMap(Set::stream)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The contents of a manifest.
     *
     * @param version its version number
     * @param routes its routes
     * @param services its services by name
     * @param owners the owner of each key
     * @param keysRequired whether routes that are not open require a key
     * @param maxBodyBytes the maximum size of a client's request body in bytes
     */
    public record Parts(
            long version,
            List<Route> routes,
            Map<String, Service> services,
            Map<String, KeyOwner> owners,
            boolean keysRequired,
            long maxBodyBytes) {}

    /**
     * A service.
     *
     * @param name its name
     * @param maxConnections the connections that each endpoint accepts from all callers together
     * @param model the profile of its model, empty for plain services
     * @param origin the host and port of the origin of weights, empty for all other services
     * @param coldPerSecond the requests per second that a cold endpoint of the service bears from all entries together;
     *     empty if cold endpoints bear as many as warm ones
     * @param healthPath the path at which its endpoints tell that they are well; empty if the manifest names none
     */
    public record Service(
            String name,
            int maxConnections,
            Optional<ModelProfile> model,
            Optional<String> origin,
            OptionalDouble coldPerSecond,
            Optional<String> healthPath) {

        /**
         * Creates a service without a health path whose cold endpoints bear as many requests as warm ones.
         *
         * @param name its name
         * @param maxConnections the connections that each endpoint accepts from all callers together
         * @param model the profile of its model, empty for plain services
         * @param origin the host and port of the origin of weights, empty for all other services
         */
        public Service(String name, int maxConnections, Optional<ModelProfile> model, Optional<String> origin) {
            this(name, maxConnections, model, origin, OptionalDouble.empty(), Optional.empty());
        }
    }

    /**
     * The owner of a key.
     *
     * @param organisation the organisation's name
     * @param priority its priority, which takes precedence over that of the route; empty if it has none
     * @param allowedRegions the regions in which its requests may be handled, in addition to the route's restriction
     */
    public record KeyOwner(String organisation, Optional<Integer> priority, AllowedRegions allowedRegions) {

        /**
         * Creates an owner whose requests may be handled in any region.
         *
         * @param organisation the organisation's name
         * @param priority its priority, which takes precedence over that of the route; empty if it has none
         */
        public KeyOwner(String organisation, Optional<Integer> priority) {
            this(organisation, priority, AllowedRegions.any());
        }
    }

    /**
     * Creates a manifest.
     *
     * @param parts its contents
     * @return the manifest
     */
    public static RouteManifest of(Parts parts) {
        return new RouteManifest(Objects.requireNonNull(parts, "parts is null"));
    }

    private static Map<String, List<Route>> byHost(List<Route> routes) {
        Map<String, List<Route>> grouped = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        routes.forEach(route ->
                grouped.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        grouped.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        return grouped;
    }

    private static Map<String, AllowedRegions> byOrganisation(Collection<KeyOwner> owners) {
        Map<String, AllowedRegions> regions = new HashMap<>();
        owners.forEach(owner -> regions.merge(owner.organisation(), owner.allowedRegions(), AllowedRegions::and));
        return regions;
    }

    // -- queries

    /**
     * Returns the version number of this manifest.
     *
     * @return the version number
     */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a request: of the host's routes, the one with the longest matching path prefix.
     *
     * @param host the requested host
     * @param path the requested path
     * @return the route, empty if there is none
     */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * Returns the regions in which a request may be handled, by its route and its organisation, which both bind.
     *
     * @param host the requested host
     * @param path the requested path
     * @param organisation the request's organisation, empty if it has none
     * @return the regions; any if this manifest has neither the route nor the organisation
     */
    public AllowedRegions allowedRegions(String host, String path, Optional<String> organisation) {
        if (namedRegions.isEmpty()) {
            return AllowedRegions.any();
        }
        AllowedRegions ofRoute = route(host, path).map(Route::allowedRegions).orElse(AllowedRegions.any());
        return organisation.map(regionsByOrganisation::get).map(ofRoute::and).orElse(ofRoute);
    }

    /**
     * Returns the regions that routes and organisations name as allowed.
     *
     * @return the regions, empty if nothing is restricted to regions
     */
    public Set<String> namedRegions() {
        return namedRegions;
    }

    /**
     * Returns a service by its name.
     *
     * @param name the name
     * @return the service, empty if the manifest has none of that name
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns whether another manifest has the same services. Agents act on nothing else.
     *
     * @param other the other manifest
     * @return true if the services are equal
     */
    public boolean sameServices(RouteManifest other) {
        return services.equals(other.services);
    }

    /**
     * Returns the address of the origin of weights.
     *
     * @return its host and port, empty if the manifest names none
     */
    public Optional<String> origin() {
        return services.values().stream()
                .flatMap(service -> service.origin().stream())
                .findFirst();
    }

    /**
     * Returns the owner of a key.
     *
     * @param key the key
     * @return the owner, empty for an unknown key
     */
    public Optional<KeyOwner> owner(String key) {
        return Optional.ofNullable(owners.get(key));
    }

    /**
     * Returns whether routes that are not open require a key.
     *
     * @return true if the manifest names organisations
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the maximum size of a client's request body.
     *
     * @return the size in bytes
     */
    public long maxBodyBytes() {
        return maxBodyBytes;
    }
}
