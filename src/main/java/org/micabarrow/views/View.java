package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.RouteManifest;

/**
 * What a process believes at one moment. Immutable.
 *
 * @param manifest the manifest in force, empty until one is known
 * @param manifestOffset where it stands in the store
 * @param endpoints the endpoints that the store lists, by id
 * @param targets the weight versions wanted of each model, in the order in which they were named
 */
public record View(
        Optional<RouteManifest> manifest,
        long manifestOffset,
        Map<String, EndpointEntry> endpoints,
        Map<String, List<Target>> targets) {

    /** How many named versions of a model are remembered: more are never on their way at once. */
    private static final int TARGETS_KEPT = 8;

    /**
     * A wanted weight version.
     *
     * @param version the version
     * @param learnedMillis when this process learned of it, on its steady clock
     * @param seenNamed whether this process saw it being named, rather than finding it named at its start
     */
    public record Target(long version, long learnedMillis, boolean seenNamed) {}

    /** Copies the maps. */
    public View {
        Objects.requireNonNull(manifest, "manifest is null");
        endpoints = Map.copyOf(endpoints);
        targets = Map.copyOf(targets);
    }

    /**
     * A view that knows nothing.
     *
     * @return the view
     */
    public static View empty() {
        return new View(Optional.empty(), -1, Map.of(), Map.of());
    }

    // -- questions

    /**
     * The newest weight version that was named for a model.
     *
     * @param model the model
     * @return the version, empty if none was named
     */
    public Optional<Target> newestTarget(String model) {
        List<Target> named = named(model);
        return named.isEmpty() ? Optional.empty() : Optional.of(named.getLast());
    }

    /**
     * The least weight version that may still answer: the newest of those that were named long enough ago.
     *
     * @param model the model
     * @param boundMillis how long after a version was named older ones may answer
     * @param nowMillis the time on the steady clock
     * @return the version, 0 if any may answer
     */
    public long leastVersion(String model, long boundMillis, long nowMillis) {
        return named(model).stream()
                .filter(target -> nowMillis - target.learnedMillis() > boundMillis)
                .mapToLong(Target::version)
                .max()
                .orElse(0);
    }

    /**
     * The oldest of the versions that are newer than one.
     *
     * @param model the model
     * @param version the version that is held
     * @return the version named first after it; empty if none is newer
     */
    public Optional<Target> newerNamed(String model, long version) {
        return named(model).stream()
                .filter(target -> target.version() > version)
                .findFirst();
    }

    /**
     * The endpoints of a service.
     *
     * @param service the service
     * @return its endpoints, those that leave too
     */
    public List<EndpointEntry> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(entry -> entry.service().equals(service))
                .toList();
    }

    private List<Target> named(String model) {
        return targets.getOrDefault(model, List.of());
    }

    // -- views that follow from this one

    View withManifest(RouteManifest newManifest, long offset) {
        return new View(Optional.of(newManifest), offset, endpoints, targets);
    }

    View withEndpoints(Map<String, EndpointEntry> newEndpoints) {
        return new View(manifest, manifestOffset, newEndpoints, targets);
    }

    /**
     * The same view with one more weight version wanted.
     *
     * @param model the model
     * @param target the version
     * @return the new view; this one if the version is not newer than those known
     */
    View withTarget(String model, Target target) {
        List<Target> named = named(model);
        if (!named.isEmpty() && named.getLast().version() >= target.version()) {
            return this;
        }
        List<Target> more = new ArrayList<>(named);
        more.add(target);
        Map<String, List<Target>> all = new HashMap<>(targets);
        all.put(model, List.copyOf(more.subList(Math.max(0, more.size() - TARGETS_KEPT), more.size())));
        return new View(manifest, manifestOffset, endpoints, all);
    }
}
