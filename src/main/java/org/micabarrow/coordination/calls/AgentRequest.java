package org.micabarrow.coordination.calls;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.coordination.claims.Claim;

/**
 * A request that an entry sends to an agent for one attempt.
 *
 * @param attempt the attempt's id, which the response carries as well
 * @param generation the generation of the entry's configuration
 * @param placement the placement under which it runs
 * @param organisation the organisation that sent it
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param priority 0 for the most urgent
 * @param stream whether the response is streamed
 * @param method the HTTP method at the endpoint
 * @param path the path at the endpoint
 * @param contentType the body's type
 * @param body the body
 * @param claim the claim, for a request that must not be repeated
 */
public record AgentRequest(
        String attempt,
        long generation,
        String placement,
        String organisation,
        long remainingMillis,
        int priority,
        boolean stream,
        String method,
        String path,
        String contentType,
        byte[] body,
        Optional<Claim> claim) {

    /** Validates the components. */
    public AgentRequest {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(claim, "claim is null");
    }

    /**
     * Whether the request may use the slots reserved for short requests.
     *
     * @return true for the most urgent priority
     */
    public boolean shortRequest() {
        return priority == 0;
    }
}
