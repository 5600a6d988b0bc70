package org.micabarrow.attempts;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.routing.AllowedRegions;
import org.micabarrow.routing.RequestClass;
import org.micabarrow.routing.RequestSize;
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
 * @param size the size of its prompt and answer, as far as stated
 * @param sharedPromptParts the ids of the parts of its prompt that other prompts may share, in hexadecimal
 * @param allowedRegions the regions in which it may be handled, by its route and its organisation
 */
public record ClientRequest(
        String id,
        String method,
        String target,
        String host,
        HeaderFields headers,
        byte[] body,
        Route route,
        String service,
        Optional<String> organisation,
        int priority,
        long deadlineMillis,
        RequestSize size,
        Set<String> sharedPromptParts,
        AllowedRegions allowedRegions) {

    /** Copies the parts. */
    public ClientRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(route, "route is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(size, "size is null");
        Objects.requireNonNull(allowedRegions, "allowedRegions is null");
        sharedPromptParts = Set.copyOf(sharedPromptParts);
    }

    /**
     * Returns the tokens of the prompt.
     *
     * @return 0 for plain services
     */
    public int promptTokens() {
        return size.promptTokens();
    }

    /**
     * Returns the class by which the request competes with others for capacity.
     *
     * @return its rank and organisation
     */
    public RequestClass requestClass() {
        return new RequestClass(RequestClass.rank(priority, route.priority()), organisation);
    }
}
