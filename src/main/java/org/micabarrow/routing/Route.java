package org.micabarrow.routing;

import java.util.List;
import java.util.Objects;

/**
 * A route of the active manifest.
 *
 * @param name its name
 * @param host the host whose requests it matches
 * @param pathPrefix the path prefix that it matches
 * @param weightedServices the services among which requests are divided
 * @param kind what may be repeated
 * @param timeoutMillis the longest time for which a request may be held
 * @param objectiveMillis the time within which a response has its full value
 * @param priority its priority, 0 is the most urgent
 * @param maxAttempts the maximum number of endpoints to which one request may be sent
 * @param open whether requests need no key
 * @param allowedRegions the regions in which its requests may be handled
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> weightedServices,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxAttempts,
        boolean open,
        AllowedRegions allowedRegions) {

    /** Copies the services. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(allowedRegions, "allowedRegions is null");
        weightedServices = List.copyOf(weightedServices);
    }

    /**
     * Creates a route whose requests may be handled in any region.
     *
     * @param name its name
     * @param host the host whose requests it matches
     * @param pathPrefix the path prefix that it matches
     * @param weightedServices the services among which requests are divided
     * @param kind what may be repeated
     * @param timeoutMillis the longest time for which a request may be held
     * @param objectiveMillis the time within which a response has its full value
     * @param priority its priority, 0 is the most urgent
     * @param maxAttempts the maximum number of endpoints to which one request may be sent
     * @param open whether requests need no key
     */
    public Route(
            String name,
            String host,
            String pathPrefix,
            List<WeightedService> weightedServices,
            RequestKind kind,
            long timeoutMillis,
            long objectiveMillis,
            int priority,
            int maxAttempts,
            boolean open) {
        this(
                name,
                host,
                pathPrefix,
                weightedServices,
                kind,
                timeoutMillis,
                objectiveMillis,
                priority,
                maxAttempts,
                open,
                AllowedRegions.any());
    }

    /**
     * A service's fraction of a route's requests.
     *
     * @param service the service
     * @param weight its weight relative to the other services
     */
    public record WeightedService(String service, double weight) {}

    /**
     * Selects a service at random in proportion to the weights.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service
     */
    public String selectService(double draw) {
        double total =
                weightedServices.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService candidate : weightedServices) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return weightedServices.getLast().service();
    }
}
