package org.micabarrow.state;

import java.util.Objects;

/**
 * An instance as the platform's list shows it.
 *
 * @param id its name
 * @param region its region
 * @param hall its data hall
 * @param address the host and port of the system's process on it
 * @param kind {@code entry}, {@code engine}, or {@code service:NAME}
 * @param capacityBytes how many bytes of weights it can hold
 * @param leaving whether the platform is taking it away
 */
public record Instance(
        String id, String region, String hall, String address, String kind, long capacityBytes, boolean leaving) {

    /** The kind of an instance with a model engine. */
    public static final String ENGINE = "engine";

    /** The kind of an entry instance. */
    public static final String ENTRY = "entry";

    /** Checks the parts. */
    public Instance {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * Whether the instance can run a workload.
     *
     * @param workload the workload
     * @return true if its endpoint is of the right kind
     */
    public boolean runs(Workload workload) {
        return switch (workload) {
            case Workload.Model ignored -> kind.equals(ENGINE);
            case Workload.Service service -> kind.equals("service:" + service.name());
        };
    }

    /**
     * The replica that would stand on this instance.
     *
     * @return its place and address
     */
    public Replica replica() {
        return new Replica(id, region, hall, address);
    }
}
