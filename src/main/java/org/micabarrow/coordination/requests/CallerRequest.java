package org.micabarrow.coordination.requests;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Organisation;

/**
 * A caller's request as the entry parsed it.
 *
 * @param id the request's id, for logs
 * @param organisation the organisation that sent it
 * @param workload the name of the requested model or service
 * @param model whether the workload is a model
 * @param method the HTTP method at the endpoint
 * @param path the path at the endpoint
 * @param contentType the body's type
 * @param body the body
 * @param stream whether the response is streamed
 * @param strict whether the caller forbids a second run even where the service allows it
 * @param key the caller's idempotency key
 * @param deadlineMillis the time after which the response is useless, in milliseconds since 1970
 * @param priority 0 for short requests, 1 for others
 * @param prefix the identifiers of the prompt's blocks
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

    /** Validates the components and copies the prefix. */
    public CallerRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(workload, "workload is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(key, "key is null");
        prefix = List.copyOf(prefix);
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
