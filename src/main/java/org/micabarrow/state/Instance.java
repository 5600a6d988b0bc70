package org.micabarrow.state;

import java.util.Objects;

/**
 * An instance from the platform's instance list.
 *
 * @param id the id of the instance
 * @param region the region of the instance
 * @param hall the data hall of the instance
 * @param address the host and port of this system's process on the instance
 * @param kind {@code entry}, {@code engine}, or {@code service:NAME}
 * @param capacityBytes the bytes of weights that the instance can hold
 * @param leaving whether the platform is removing the instance
 */
public record Instance(
        String id, String region, String hall, String address, String kind, long capacityBytes, boolean leaving) {

    /** The kind of an instance with a model engine. */
    public static final String ENGINE = "engine";

    /** The kind of an entry instance. */
    public static final String ENTRY = "entry";

    /** Rejects null values. */
    public Instance {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(kind, "kind is null");
    }

    /**
     * Checks whether the instance can run a workload.
     *
     * @param workload the workload
     * @return true if the endpoint of the instance is of the right kind
     */
    public boolean canRun(Workload workload) {
        return switch (workload) {
            case Workload.Model ignored -> kind.equals(ENGINE);
            case Workload.Service service -> kind.equals("service:" + service.name());
        };
    }

    /**
     * Creates a replica on this instance.
     *
     * @return the replica
     */
    public Replica replica() {
        return new Replica(id, region, hall, address);
    }
}
