package org.micabarrow.coordination.calls;

import java.util.Objects;

/**
 * The beginning of an answer: what it is and where it was made.
 *
 * @param attempt the attempt that made it
 * @param status the HTTP status
 * @param contentType the body's type
 * @param version the version of the weights, empty for a service
 * @param instance the instance that made it
 * @param region its region
 * @param hall its data hall
 * @param generation the generation under which the agent let it start
 */
public record AnswerHead(
        String attempt,
        int status,
        String contentType,
        String version,
        String instance,
        String region,
        String hall,
        long generation) {

    /** Checks the parts. */
    public AnswerHead {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(hall, "hall is null");
    }
}
