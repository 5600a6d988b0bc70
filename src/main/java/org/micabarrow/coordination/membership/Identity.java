package org.micabarrow.coordination.membership;

import java.util.Objects;

/**
 * Which process this is.
 *
 * @param instance the instance's name
 * @param region its region
 * @param hall its data hall
 * @param epoch when the process started, in milliseconds since 1970; tells a new process from an old one
 */
public record Identity(String instance, String region, String hall, long epoch) {

    /** Checks the parts. */
    public Identity {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
    }

    /**
     * The epoch as text, as claims carry it.
     *
     * @return the epoch in decimal
     */
    public String epochText() {
        return Long.toString(epoch);
    }
}
