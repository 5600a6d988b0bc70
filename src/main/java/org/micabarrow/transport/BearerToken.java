package org.micabarrow.transport;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.util.Optional;

/** Reads the bearer token of a request (RFC 6750, 2.1). */
public final class BearerToken {

    private static final String SCHEME = "Bearer ";

    private BearerToken() {}

    /**
     * Returns the token of a request. The name of the scheme has no case (RFC 9110, 11.1).
     *
     * @param headers the request's header
     * @return the token, empty if the request has none or uses another scheme
     */
    public static Optional<String> of(HeaderMap headers) {
        return Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(value -> value.substring(SCHEME.length()).trim());
    }
}
