package org.micabarrow.attempts;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.routing.Route;

/**
 * A client's request after parsing and authorisation.
 *
 * @param id the client's id of this attempt
 * @param method the HTTP method
 * @param target the path and query exactly as received
 * @param host the requested host
 * @param headers the headers to pass on
 * @param body the body
 * @param route the route that it matches
 * @param service the service that is to respond
 * @param organisation the owner of the client's key; empty on open routes
 * @param priority its priority, 0 is the most urgent
 * @param deadlineMillis the time at which the client stops waiting, on the process's monotonic clock
 * @param promptTokens the tokens of its prompt; 0 for plain services
 */
public record ClientRequest(
        String id,
        String method,
        String target,
        String host,
        Map<String, String> headers,
        byte[] body,
        Route route,
        String service,
        Optional<String> organisation,
        int priority,
        long deadlineMillis,
        int promptTokens) {

    /** Copies the headers. */
    public ClientRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(route, "route is null");
        headers = Map.copyOf(headers);
    }
}
