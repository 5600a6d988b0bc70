package org.micabarrow.transport;

import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Fault;

/**
 * A request to be sent by {@link HttpClient}.
 *
 * <pre>{@code
 * HttpCall call = HttpCall.post(Fault.Step.LOG, uri, body).withHeader("Authorization", "Bearer " + token);
 * }</pre>
 *
 * @param step the step to name in faults
 * @param method the HTTP method
 * @param uri where to
 * @param rawTarget what stands in the request line, if it must be passed on as received; else it follows from the URI
 * @param headers the headers
 * @param body the body, empty for none
 */
public record HttpCall(
        Fault.Step step, String method, URI uri, Optional<String> rawTarget, Map<String, String> headers, byte[] body) {

    private static final byte[] NOTHING = {};

    /** Copies the headers. */
    public HttpCall {
        Objects.requireNonNull(step, "step is null");
        Objects.requireNonNull(uri, "uri is null");
        headers = Map.copyOf(headers);
    }

    /**
     * A request whose request line follows from its URI.
     *
     * @param step the step to name in faults
     * @param method the HTTP method
     * @param uri where to
     * @param headers the headers
     * @param body the body, empty for none
     */
    public HttpCall(Fault.Step step, String method, URI uri, Map<String, String> headers, byte[] body) {
        this(step, method, uri, Optional.empty(), headers, body);
    }

    /**
     * A request without a body.
     *
     * @param step the step to name in faults
     * @param uri where to
     * @return the request
     */
    public static HttpCall get(Fault.Step step, URI uri) {
        return new HttpCall(step, "GET", uri, Map.of(), NOTHING);
    }

    /**
     * A request with a body.
     *
     * @param step the step to name in faults
     * @param uri where to
     * @param body the body
     * @return the request
     */
    public static HttpCall post(Fault.Step step, URI uri, byte[] body) {
        return new HttpCall(step, "POST", uri, Map.of(), body);
    }

    /**
     * The same request with one more header.
     *
     * @param name the header
     * @param value its value
     * @return the request
     */
    public HttpCall withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new HttpCall(step, method, uri, rawTarget, more, body);
    }

    /** The host and port. */
    String authority() {
        return uri.getAuthority();
    }

    /**
     * The peer's name in faults.
     *
     * @return the host and port
     */
    public String peer() {
        return uri.getAuthority();
    }

    /** What stands in the request line. */
    String pathAndQuery() {
        if (rawTarget.isPresent()) {
            return rawTarget.get();
        }
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        return uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
    }
}
