package org.micabarrow.transport;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.state.Fault;

/**
 * An HTTP request that {@link HttpClient} sends.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.post(Fault.Step.LOG, uri, body).withHeader("Authorization", "Bearer " + token);
 * }</pre>
 *
 * @param step the step that faults of this request name
 * @param method the HTTP method
 * @param uri the target
 * @param rawTarget the request target as received, if it must be forwarded unchanged; else it is derived from the URI
 * @param headers the headers
 * @param body the body, empty for none
 */
public record HttpCall(
        Fault.Step step, String method, URI uri, Optional<String> rawTarget, HeaderFields headers, byte[] body) {

    private static final byte[] EMPTY_BODY = {};

    /** Checks the step, the URI and the headers. */
    public HttpCall {
        Objects.requireNonNull(step, "step is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(headers, "headers is null");
    }

    /**
     * Creates a request whose request target is derived from its URI.
     *
     * @param step the step that faults of this request name
     * @param method the HTTP method
     * @param uri the target
     * @param headers the headers
     * @param body the body, empty for none
     */
    public HttpCall(Fault.Step step, String method, URI uri, HeaderFields headers, byte[] body) {
        this(step, method, uri, Optional.empty(), headers, body);
    }

    /**
     * Creates a GET request without a body.
     *
     * @param step the step that faults of this request name
     * @param uri the target
     * @return the request
     */
    public static HttpCall get(Fault.Step step, URI uri) {
        return new HttpCall(step, "GET", uri, HeaderFields.empty(), EMPTY_BODY);
    }

    /**
     * Creates a POST request.
     *
     * @param step the step that faults of this request name
     * @param uri the target
     * @param body the body
     * @return the request
     */
    public static HttpCall post(Fault.Step step, URI uri, byte[] body) {
        return new HttpCall(step, "POST", uri, HeaderFields.empty(), body);
    }

    /**
     * Returns a copy of this request with a header, in the place of all headers of its name.
     *
     * @param name the header
     * @param value its value
     * @return the request
     */
    public HttpCall withHeader(String name, String value) {
        return new HttpCall(step, method, uri, rawTarget, headers.with(name, value), body);
    }

    /** The host and port of the target. */
    String authority() {
        return uri.getAuthority();
    }

    /**
     * Returns the peer's name in faults.
     *
     * @return the host and port
     */
    public String peer() {
        return uri.getAuthority();
    }

    /** The request target: path and query. */
    String pathAndQuery() {
        if (rawTarget.isPresent()) {
            return rawTarget.get();
        }
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
    }
}
