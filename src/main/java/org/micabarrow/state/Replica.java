package org.micabarrow.state;

import java.util.Objects;

/**
 * A replica of a placement on an instance.
 *
 * @param instance the id of the instance
 * @param region the region of the instance
 * @param hall the data hall of the instance
 * @param address the host and port of the instance's agent
 */
public record Replica(String instance, String region, String hall, String address) {

    /** Rejects null values. */
    public Replica {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
        Objects.requireNonNull(address, "address is null");
    }
}
