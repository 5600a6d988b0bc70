package org.micabarrow.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** One version of the operators' manifest: routes, services, keys and the limits of requests. Immutable. */
public final class RouteManifest {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, Service> services;
    private final Map<String, KeyOwner> owners;
    private final boolean keysNeeded;
    private final long maxBodyBytes;

    private RouteManifest(Parts parts) {
        this.version = parts.version();
        this.routesByHost = byHost(parts.routes());
        this.services = Map.copyOf(parts.services());
        this.owners = Map.copyOf(parts.owners());
        this.keysNeeded = parts.keysNeeded();
        this.maxBodyBytes = parts.maxBodyBytes();
    }

    /**
     * What a manifest consists of.
     *
     * @param version its number
     * @param routes its routes
     * @param services its services by name
     * @param owners the owner of each key
     * @param keysNeeded whether routes that are not open need a key
     * @param maxBodyBytes the greatest body that a client may send
     */
    public record Parts(
            long version,
            List<Route> routes,
            Map<String, Service> services,
            Map<String, KeyOwner> owners,
            boolean keysNeeded,
            long maxBodyBytes) {}

    /**
     * A service.
     *
     * @param name its name
     * @param maxConnections the connections that each endpoint accepts from all callers together
     * @param model the figures of its model, empty for plain services
     * @param origin the host and port of the origin of weights, empty for all other services
     */
    public record Service(String name, int maxConnections, Optional<ModelProfile> model, Optional<String> origin) {}

    /**
     * Who holds a key.
     *
     * @param organisation the organisation's name
     * @param priority its rank, which goes before that of the route; empty if it has none
     */
    public record KeyOwner(String organisation, Optional<Integer> priority) {}

    /**
     * Makes a manifest.
     *
     * @param parts what it consists of
     * @return the manifest
     */
    public static RouteManifest of(Parts parts) {
        return new RouteManifest(Objects.requireNonNull(parts, "parts is null"));
    }

    private static Map<String, List<Route>> byHost(List<Route> routes) {
        Map<String, List<Route>> all = new HashMap<>();
        routes.forEach(route ->
                all.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
        Comparator<Route> longestFirst =
                Comparator.comparingInt(route -> -route.pathPrefix().length());
        all.values().forEach(some -> some.sort(longestFirst));
        return all;
    }

    // -- questions

    /**
     * The number of this version.
     *
     * @return the number
     */
    public long version() {
        return version;
    }

    /**
     * The route of a request: of the host's routes, the one with the longest prefix of the path.
     *
     * @param host the host asked for
     * @param path the path asked for
     * @return the route, empty if there is none
     */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /**
     * A service by its name.
     *
     * @param name the name
     * @return the service, empty if the manifest has none of that name
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Whether another manifest has the same services: all that agents act on.
     *
     * @param other the other
     * @return true if no service differs in anything
     */
    public boolean sameServices(RouteManifest other) {
        return services.equals(other.services);
    }

    /**
     * Where the origin of weights is.
     *
     * @return its host and port, empty if the manifest names none
     */
    public Optional<String> origin() {
        return services.values().stream().flatMap(one -> one.origin().stream()).findFirst();
    }

    /**
     * Who holds a key.
     *
     * @param key the key
     * @return the owner, empty for an unknown key
     */
    public Optional<KeyOwner> owner(String key) {
        return Optional.ofNullable(owners.get(key));
    }

    /**
     * Whether routes that are not open need a key.
     *
     * @return true if the manifest names organisations
     */
    public boolean keysNeeded() {
        return keysNeeded;
    }

    /**
     * The greatest body that a client may send.
     *
     * @return its size in bytes
     */
    public long maxBodyBytes() {
        return maxBodyBytes;
    }
}
