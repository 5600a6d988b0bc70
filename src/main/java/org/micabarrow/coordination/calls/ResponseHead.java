package org.micabarrow.coordination.calls;

import java.util.Objects;

/**
 * The head of a response: its status and type, and the instance that produced it.
 *
 * @param attempt the id of the attempt that produced it
 * @param status the HTTP status
 * @param contentType the body's type
 * @param version the version of the weights, empty for a service
 * @param instance the instance that produced it
 * @param region the instance's region
 * @param hall the instance's data hall
 * @param generation the configuration generation under which the agent started the request
 */
public record ResponseHead(
        String attempt,
        int status,
        String contentType,
        String version,
        String instance,
        String region,
        String hall,
        long generation) {

    /** Validates the components. */
    public ResponseHead {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
    }
}
