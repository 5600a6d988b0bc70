package org.micabarrow.coordination.requests;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Organisation;

/**
 * A caller's request as the entry understood it.
 *
 * @param id the request's id, for logs
 * @param organisation who asks
 * @param workload the name of the model or service asked for
 * @param model whether it is a model
 * @param method the HTTP method at the endpoint
 * @param path the path at the endpoint
 * @param contentType the body's type
 * @param body the body
 * @param stream whether the answer is streamed
 * @param strict whether the caller forbids a second run even where the service allows it
 * @param key the caller's idempotency key
 * @param deadlineMillis when the answer is no longer of use, in milliseconds since 1970
 * @param priority 0 for short requests, 1 for others
 * @param prefix the prompt's blocks
 */
public record CallerRequest(
        String id,
        Organisation organisation,
        String workload,
        boolean model,
        String method,
        String path,
        String contentType,
        byte[] body,
        boolean stream,
        boolean strict,
        Optional<String> key,
        long deadlineMillis,
        int priority,
        List<Long> prefix) {

    /** Checks and copies the parts. */
    public CallerRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(workload, "workload is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(key, "key is null");
        prefix = List.copyOf(prefix);
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
