package org.micabarrow.views;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.RouteManifest;

/**
 * An immutable snapshot of what a process knows of the store.
 *
 * @param manifest the active manifest, empty until one is known
 * @param manifestOffset the offset of its record in the store
 * @param endpoints the endpoints that the store lists, by id
 * @param targets the target weight versions of each model, in the order in which they were named
 * @param supersededTargets for each model, the first target that was already named when this process read it and that
 *     was superseded by another such target
 */
public record View(
        Optional<RouteManifest> manifest,
        long manifestOffset,
        Map<String, EndpointRegistration> endpoints,
        Map<String, List<Target>> targets,
        Map<String, Target> supersededTargets,
        Set<String> evacuatedHalls) {

    /** The maximum number of targets that are remembered per model: there are never more in transit at once. */
    private static final int MAX_TARGETS = 8;

    /**
     * A weight version that endpoints should load.
     *
     * @param version the version
     * @param naming when it was named, as far as this process knows
     * @param source how this process learned of it
     */
    public record Target(long version, NamingTime naming, TargetSource source) {

        /** Checks that no component is null. */
        public Target {
            Objects.requireNonNull(naming, "naming is null");
            Objects.requireNonNull(source, "source is null");
        }

        /**
         * The time from which the bound of older versions is counted.
         *
         * @return the time on this process's monotonic clock
         */
        public long namedAtMillis() {
            return naming.assumedMillis();
        }

        /**
         * Whether this process observed that the version was named, as opposed to reading at startup that it was
         * already named.
         *
         * @return whether it did
         */
        public boolean namingObserved() {
            return source == TargetSource.OBSERVED;
        }

        private Target withNotBefore(long notBeforeMillis) {
            return new Target(version, naming.withNotBefore(notBeforeMillis), source);
        }
    }

    /** How a process learned of a target. */
    public enum TargetSource {
        /** The process was running when the version was named. */
        OBSERVED,
        /**
         * The version was already named when the process first read it, and the time at which it was named is known.
         */
        FOUND_WITH_TIME,
        /** A peer reported it before this process had read the operator records. */
        REPORTED_BY_PEER,
        /** The version was already named when the process first read it, at an unknown time. */
        FOUND_WITHOUT_TIME
    }

    /**
     * Creates a view without superseded targets and evacuations.
     *
     * @param manifest the active manifest, empty until one is known
     * @param manifestOffset the offset of its record in the store
     * @param endpoints the endpoints that the store lists, by id
     * @param targets the target weight versions of each model, in the order in which they were named
     */
    public View(
            Optional<RouteManifest> manifest,
            long manifestOffset,
            Map<String, EndpointRegistration> endpoints,
            Map<String, List<Target>> targets) {
        this(manifest, manifestOffset, endpoints, targets, Map.of(), Set.of());
    }

    /** Copies the maps. */
    public View {
        Objects.requireNonNull(manifest, "manifest is null");
        endpoints = Map.copyOf(endpoints);
        targets = Map.copyOf(targets);
        supersededTargets = Map.copyOf(supersededTargets);
        evacuatedHalls = Set.copyOf(evacuatedHalls);
    }

    /**
     * Returns a view that contains nothing.
     *
     * @return the view
     */
    public static View empty() {
        return new View(Optional.empty(), -1, Map.of(), Map.of());
    }

    // -- queries

    /**
     * Returns the newest weight version that was named for a model.
     *
     * @param model the model
     * @return the target, empty if none was named
     */
    public Optional<Target> newestTarget(String model) {
        List<Target> existing = targetsOf(model);
        return existing.isEmpty() ? Optional.empty() : Optional.of(existing.getLast());
    }

    /**
     * Returns the minimum weight version that may still serve requests: the newest of those that were named long enough
     * ago.
     *
     * @param model the model
     * @param boundMillis for how long older versions may serve after a version was named
     * @param nowMillis the time on the monotonic clock
     * @return the version, 0 if any may serve
     */
    public long minVersion(String model, long boundMillis, long nowMillis) {
        return Stream.concat(targetsOf(model).stream(), Optional.ofNullable(supersededTargets.get(model)).stream())
                .filter(target -> nowMillis - target.namedAtMillis() > boundMillis)
                .mapToLong(Target::version)
                .max()
                .orElse(0);
    }

    /**
     * Returns the oldest target that is newer than a version.
     *
     * @param model the model
     * @param version the version that is loaded
     * @return the first target named after it; empty if none is newer
     */
    public Optional<Target> nextTarget(String model, long version) {
        return targetsOf(model).stream()
                .filter(target -> target.version() > version)
                .findFirst();
    }

    /**
     * Returns the endpoints of a service.
     *
     * @param service the service
     * @return its endpoints, including draining ones
     */
    public List<EndpointRegistration> endpointsOf(String service) {
        return endpoints.values().stream()
                .filter(entry -> entry.service().equals(service))
                .toList();
    }

    private List<Target> targetsOf(String model) {
        return targets.getOrDefault(model, List.of());
    }

    // -- derived views

    View withManifest(RouteManifest newManifest, long offset) {
        return new View(Optional.of(newManifest), offset, endpoints, targets, supersededTargets, evacuatedHalls);
    }

    View withEndpoints(Map<String, EndpointRegistration> newEndpoints) {
        return new View(manifest, manifestOffset, newEndpoints, targets, supersededTargets, evacuatedHalls);
    }

    View withEvacuation(String hall, boolean evacuated) {
        Set<String> halls = new HashSet<>(evacuatedHalls);
        if (evacuated) {
            halls.add(hall);
        } else {
            halls.remove(hall);
        }
        return new View(manifest, manifestOffset, endpoints, targets, supersededTargets, halls);
    }

    /**
     * Returns this view with a target added. If both the existing and the new target were already named when they were
     * read, it is unknown when either was named. The older one must not be considered allowed to serve, and be fetched,
     * until the newer one is due, so it is removed from the targets. It is retained as a superseded target, because it
     * still determines by when earlier versions must have stopped.
     *
     * @param model the model
     * @param target the target
     * @return the new view; this one if the version is not newer than the known ones
     */
    View withTarget(String model, Target target) {
        List<Target> existing = targetsOf(model);
        if (!existing.isEmpty() && existing.getLast().version() >= target.version()) {
            return this;
        }
        List<Target> updated = new ArrayList<>(existing);
        Map<String, Target> superseded = new HashMap<>(supersededTargets);
        if (target.source() == TargetSource.FOUND_WITHOUT_TIME) {
            updated.stream()
                    .filter(knownTarget -> knownTarget.source() == TargetSource.FOUND_WITHOUT_TIME)
                    .forEach(knownTarget -> superseded.putIfAbsent(model, knownTarget));
            updated.removeIf(knownTarget -> knownTarget.source() == TargetSource.FOUND_WITHOUT_TIME);
        }
        updated.add(target);
        return withTargets(model, updated, superseded);
    }

    /**
     * Returns this view with what another process knows of when a version was named. A version that this process does
     * not know is added, also before newer ones: it determines by when earlier versions must have stopped.
     *
     * @param account the other process's account
     * @param nowMillis the time on the monotonic clock
     * @return the new view; this one if the account says nothing new
     */
    View withNamingAccount(NamingAccount account, long nowMillis) {
        List<Target> existing = targetsOf(account.model());
        List<Target> updated = new ArrayList<>();
        boolean known = false;
        for (Target target : existing) {
            boolean concerned = target.version() == account.version();
            known |= concerned;
            updated.add(concerned ? target.withNotBefore(account.notBeforeMillis()) : target);
        }
        if (!known) {
            NamingTime naming = NamingTime.at(nowMillis).withNotBefore(account.notBeforeMillis());
            updated.add(new Target(account.version(), naming, TargetSource.OBSERVED));
            updated.sort(Comparator.comparingLong(Target::version));
        }
        return updated.equals(existing) ? this : withTargets(account.model(), updated, supersededTargets);
    }

    private View withTargets(String model, List<Target> newTargets, Map<String, Target> superseded) {
        Map<String, List<Target>> allTargets = new HashMap<>(targets);
        allTargets.put(
                model,
                List.copyOf(newTargets.subList(Math.max(0, newTargets.size() - MAX_TARGETS), newTargets.size())));
        return new View(manifest, manifestOffset, endpoints, allTargets, superseded, evacuatedHalls);
    }
}
