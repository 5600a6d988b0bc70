package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Set;
import org.micabarrow.routing.EndpointStart;

/**
 * The end of one start of an endpoint that nobody had planned, with requests that were there.
 *
 * @param endpoint names the start of the endpoint
 * @param aboard the requests that had been sent there and of whose answers nothing had come
 * @param begun the requests of whose answers a part had come: the endpoint had borne their beginning
 */
public record EndpointCrash(String endpoint, Set<RequestDigest> aboard, Set<RequestDigest> begun) {

    /** Copies the requests. */
    public EndpointCrash {
        Objects.requireNonNull(endpoint, "endpoint is null");
        aboard = Set.copyOf(aboard);
        begun = Set.copyOf(begun);
    }

    /**
     * The end of an endpoint's start.
     *
     * @param start the start
     * @param aboard the requests that were there without a part of an answer
     * @param begun those with one
     * @return the crash
     */
    public static EndpointCrash of(EndpointStart start, Set<RequestDigest> aboard, Set<RequestDigest> begun) {
        Objects.requireNonNull(start, "start is null");
        String began =
                start.startedMillis().isPresent() ? "@" + start.startedMillis().getAsLong() : "";
        return new EndpointCrash(start.id() + began, aboard, begun);
    }
}
