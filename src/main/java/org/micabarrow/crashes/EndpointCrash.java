package org.micabarrow.crashes;

import java.util.Objects;
import java.util.Set;
import org.micabarrow.routing.EndpointStart;

/**
 * The unplanned end of one start of an endpoint, with requests that were in flight there.
 *
 * @param endpoint identifies the start of the endpoint
 * @param unanswered the requests of whose responses nothing had arrived
 * @param partlyAnswered the requests of whose responses a part had arrived: the endpoint had survived their start
 */
public record EndpointCrash(String endpoint, Set<RequestDigest> unanswered, Set<RequestDigest> partlyAnswered) {

    /** Copies the requests. */
    public EndpointCrash {
        Objects.requireNonNull(endpoint, "endpoint is null");
        unanswered = Set.copyOf(unanswered);
        partlyAnswered = Set.copyOf(partlyAnswered);
    }

    /**
     * Creates the crash of one start of an endpoint.
     *
     * @param start the start
     * @param unanswered the requests in flight of whose responses nothing had arrived
     * @param partlyAnswered those of whose responses a part had arrived
     * @return the crash
     */
    public static EndpointCrash of(
            EndpointStart start, Set<RequestDigest> unanswered, Set<RequestDigest> partlyAnswered) {
        Objects.requireNonNull(start, "start is null");
        String startSuffix =
                start.startedMillis().isPresent() ? "@" + start.startedMillis().getAsLong() : "";
        return new EndpointCrash(start.id() + startSuffix, unanswered, partlyAnswered);
    }
}
