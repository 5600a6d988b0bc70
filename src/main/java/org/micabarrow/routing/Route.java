package org.micabarrow.routing;

import java.util.List;
import java.util.Objects;

/**
 * A route of the manifest in force.
 *
 * @param name its name
 * @param host the host whose requests it takes
 * @param pathPrefix how their paths begin
 * @param shares the services among which requests are divided
 * @param kind what may be repeated
 * @param timeoutMillis the longest time that a request may be held
 * @param objectiveMillis the time within which an answer earns its full worth
 * @param priority its rank, 0 first
 * @param maxAttempts to how many endpoints one request may be sent
 * @param open whether requests need no key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<Share> shares,
        RequestKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        int maxAttempts,
        boolean open) {

    /** Copies the shares. */
    public Route {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(kind, "kind is null");
        shares = List.copyOf(shares);
    }

    /**
     * A service's part of a route's requests.
     *
     * @param service the service
     * @param weight its part, in relation to the other parts
     */
    public record Share(String service, double weight) {}

    /**
     * Chooses a service.
     *
     * @param draw a random number from 0 to below 1
     * @return the service
     */
    public String service(double draw) {
        double total = shares.stream().mapToDouble(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
