package org.micabarrow.coordination.calls;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.coordination.claims.Claim;

/**
 * A request on its way from an entry to an agent.
 *
 * @param attempt the attempt's id, which comes back on every part of the answer
 * @param generation the entry's generation
 * @param placement the placement under which it runs
 * @param organisation the organisation that asks
 * @param remainingMillis how much time the caller leaves
 * @param priority 0 for the most urgent
 * @param stream whether the answer is streamed
 * @param method the HTTP method at the endpoint
 * @param path the path at the endpoint
 * @param contentType the body's type
 * @param body the body
 * @param claim the claim, for a request that may not be repeated
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

    /** Checks the parts. */
    public AgentRequest {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(claim, "claim is null");
    }

    /**
     * Whether the request may use the room reserved for short ones.
     *
     * @return true for the most urgent priority
     */
    public boolean shortRequest() {
        return priority == 0;
    }
}
