package org.micabarrow.transport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.routing.EndpointStart;
import org.micabarrow.views.View;

/**
 * The hosts whose agents an entry may query, and the endpoints at each. Derived anew only when the view changes. Changed
 * by the traffic thread only; {@link #endpointsAt} may be called by any thread.
 */
final class PolledHosts {

    private final Predicate<EndpointStart> inFlight;
    private final Predicate<EndpointRegistration> sameRegion;
    private final Map<EndpointStart, EndpointRegistration> polled = new HashMap<>();

    /**
     * The endpoints at each host. After a restart there are two for a while, until no request is in flight at the
     * former one.
     */
    private volatile Map<String, List<EndpointStart>> endpointsByHost = Map.of();

    private List<QuerySchedule.Host> all = List.of();

    /** The view from which the hosts were derived; empty while endpoints that it does not list are queried too. */
    private Optional<View> derivedFrom = Optional.empty();

    /**
     * Creates an instance without hosts.
     *
     * @param inFlight whether requests of this entry are in flight at an endpoint
     * @param sameRegion whether an endpoint is in the entry's region
     */
    PolledHosts(Predicate<EndpointStart> inFlight, Predicate<EndpointRegistration> sameRegion) {
        this.inFlight = inFlight;
        this.sameRegion = sameRegion;
    }

    // -- the view

    /**
     * Derives the hosts from a view.
     *
     * @param view the current view
     * @return false if they are as before
     */
    boolean update(View view) {
        if (derivedFrom.filter(last -> last == view).isPresent()) {
            return false;
        }
        Map<String, List<EndpointRegistration>> byHost = polledByHost(view);
        endpointsByHost = startsOf(byHost);
        all = byHost.entrySet().stream()
                .map(host -> new QuerySchedule.Host(
                        host.getKey(), sameRegion.test(host.getValue().getFirst())))
                .toList();
        derivedFrom = listsAll(view) ? Optional.of(view) : Optional.empty();
        return true;
    }

    /**
     * The endpoints to query: those that are listed for models, and those that are no longer listed but have requests
     * in flight, since an endpoint that is not queried would seem unresponsive.
     */
    private Map<String, List<EndpointRegistration>> polledByHost(View view) {
        polled.keySet().removeIf(start -> !inFlight.test(start));
        view.endpoints().values().stream()
                .filter(endpoint -> isModel(view, endpoint))
                .forEach(endpoint -> polled.put(endpoint.start(), endpoint));
        return polled.values().stream().collect(Collectors.groupingBy(EndpointRegistration::instanceHost));
    }

    private static boolean isModel(View view, EndpointRegistration endpoint) {
        return view.manifest()
                .flatMap(manifest -> manifest.service(endpoint.service()))
                .filter(service -> service.model().isPresent())
                .isPresent();
    }

    private static Map<String, List<EndpointStart>> startsOf(Map<String, List<EndpointRegistration>> hosts) {
        return hosts.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey,
                        host -> host.getValue().stream()
                                .map(EndpointRegistration::start)
                                .toList()));
    }

    private boolean listsAll(View view) {
        long listed = view.endpoints().values().stream()
                .map(EndpointRegistration::start)
                .filter(polled::containsKey)
                .count();
        return listed == polled.size();
    }

    // -- queries

    /** All hosts. */
    List<QuerySchedule.Host> all() {
        return all;
    }

    /** The addresses of all hosts. */
    Set<String> addresses() {
        return endpointsByHost.keySet();
    }

    /** The endpoints at a host; none if it is not known. */
    List<EndpointStart> endpointsAt(String host) {
        return endpointsByHost.getOrDefault(host, List.of());
    }

    /** The endpoints at those hosts to which a condition applies. */
    Set<EndpointStart> startsAt(Predicate<String> condition) {
        return endpointsByHost.entrySet().stream()
                .filter(host -> condition.test(host.getKey()))
                .flatMap(host -> host.getValue().stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Whether requests of this entry are in flight at any endpoint of a host. */
    boolean hasRequestsInFlight(String host) {
        return endpointsAt(host).stream().anyMatch(inFlight);
    }
}
