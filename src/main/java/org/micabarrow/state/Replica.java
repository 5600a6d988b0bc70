package org.micabarrow.state;

import java.util.Objects;

/**
 * An instance's part in a placement.
 *
 * @param instance the instance
 * @param region its region
 * @param hall its data hall
 * @param address the host and port of its agent
 */
public record Replica(String instance, String region, String hall, String address) {

    /** Checks the parts. */
    public Replica {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
        Objects.requireNonNull(address, "address is null");
    }
}
