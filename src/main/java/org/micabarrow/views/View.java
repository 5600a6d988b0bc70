package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RouteManifest;

/**
 * What a process believes at one moment. Immutable.
 *
 * @param manifest the manifest in force, empty until one is known
 * @param manifestOffset where it stands in the store
 * @param endpoints the endpoints that the store lists, by id
 * @param targets the weight versions wanted of each model, in the order in which they were named
 * @param found the first version of each model that was found named and that a newer one replaced before it was wanted for long
 */
public record View(
        Optional<RouteManifest> manifest,
        long manifestOffset,
        Map<String, EndpointRegistration> endpoints,
        Map<String, List<Target>> targets,
        Map<String, Target> found) {

    /** How many named versions of a model are remembered: more are never on their way at once. */
    private static final int TARGETS_KEPT = 8;

    /**
     * A wanted weight version.
     *
     * @param version the version
     * @param learnedMillis when this process learned of it, on its steady clock
     * @param learned how this process learned of it
     */
    public record Target(long version, long learnedMillis, Learned learned) {

        /**
         * Whether this process saw the version being named, rather than finding it named at its start.
         *
         * @return whether it did
         */
        public boolean seenNamed() {
            return learned == Learned.SEEN_NAMED;
        }
    }

    /** How a process learned of a weight version. */
    public enum Learned {
        /** It ran when the version was named. */
        SEEN_NAMED,
        /** It found the version named, with the time at which that was. */
        TOLD_WHEN,
        /** A peer told of it before this process had read what operators wrote. */
        TOLD_BY_PEER,
        /** It found the version named, nobody knows since when. */
        FOUND
    }

    /**
     * A view in which no version was replaced by another that was found named.
     *
     * @param manifest the manifest in force, empty until one is known
     * @param manifestOffset where it stands in the store
     * @param endpoints the endpoints that the store lists, by id
     * @param targets the weight versions wanted of each model, in the order in which they were named
     */
    public View(
            Optional<RouteManifest> manifest,
            long manifestOffset,
            Map<String, EndpointRegistration> endpoints,
            Map<String, List<Target>> targets) {
        this(manifest, manifestOffset, endpoints, targets, Map.of());
    }

    /** Copies the maps. */
    public View {
        Objects.requireNonNull(manifest, "manifest is null");
        endpoints = Map.copyOf(endpoints);
        targets = Map.copyOf(targets);
        found = Map.copyOf(found);
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
        return Stream.concat(named(model).stream(), Optional.ofNullable(found.get(model)).stream())
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
    public List<EndpointRegistration> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(entry -> entry.service().equals(service))
                .toList();
    }

    private List<Target> named(String model) {
        return targets.getOrDefault(model, List.of());
    }

    // -- views that follow from this one

    View withManifest(RouteManifest newManifest, long offset) {
        return new View(Optional.of(newManifest), offset, endpoints, targets, found);
    }

    View withEndpoints(Map<String, EndpointRegistration> newEndpoints) {
        return new View(manifest, manifestOffset, newEndpoints, targets, found);
    }

    /**
     * The same view with one more weight version wanted. One that was found named and a newer one that was found so too were both
     * named nobody knows when: the older must not seem good to answer, and be fetched, for as long as the newer is not due. It
     * still tells by when those before it must have stopped.
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
        Map<String, Target> replaced = new HashMap<>(found);
        if (target.learned() == Learned.FOUND) {
            more.stream()
                    .filter(one -> one.learned() == Learned.FOUND)
                    .forEach(one -> replaced.putIfAbsent(model, one));
            more.removeIf(one -> one.learned() == Learned.FOUND);
        }
        more.add(target);
        Map<String, List<Target>> all = new HashMap<>(targets);
        all.put(model, List.copyOf(more.subList(Math.max(0, more.size() - TARGETS_KEPT), more.size())));
        return new View(manifest, manifestOffset, endpoints, all, replaced);
    }
}
