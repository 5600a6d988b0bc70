package org.micabarrow.crashes;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.micabarrow.routing.EndpointStart;

/**
 * The unplanned end of one start of an endpoint, with requests that were in flight there.
 *
 * @param endpoint identifies the start of the endpoint
 * @param unanswered the requests of whose responses nothing had arrived
 * @param partlyAnswered the requests of whose responses a part had arrived: the endpoint had survived their start
 * @param parts the shared parts of the prompts of these requests; a request without any has no entry
 */
public record EndpointCrash(
        String endpoint,
        Set<RequestDigest> unanswered,
        Set<RequestDigest> partlyAnswered,
        Map<RequestDigest, Set<PromptPart>> parts) {

    /** Copies the requests and parts. */
    public EndpointCrash {
        Objects.requireNonNull(endpoint, "endpoint is null");
        unanswered = Set.copyOf(unanswered);
        partlyAnswered = Set.copyOf(partlyAnswered);
        Map<RequestDigest, Set<PromptPart>> copy = new LinkedHashMap<>();
        parts.forEach((request, own) -> copy.put(request, Set.copyOf(own)));
        parts = Map.copyOf(copy);
    }

    /**
     * Creates a crash of requests without shared parts.
     *
     * @param endpoint identifies the start of the endpoint
     * @param unanswered the requests of whose responses nothing had arrived
     * @param partlyAnswered the requests of whose responses a part had arrived
     */
    public EndpointCrash(String endpoint, Set<RequestDigest> unanswered, Set<RequestDigest> partlyAnswered) {
        this(endpoint, unanswered, partlyAnswered, Map.of());
    }

    /**
     * Creates the crash of one start of an endpoint.
     *
     * @param start the start
     * @param unanswered the requests in flight of whose responses nothing had arrived
     * @param partlyAnswered those of whose responses a part had arrived
     * @param parts the shared parts of their prompts
     * @return the crash
     */
    public static EndpointCrash of(
            EndpointStart start,
            Set<RequestDigest> unanswered,
            Set<RequestDigest> partlyAnswered,
            Map<RequestDigest, Set<PromptPart>> parts) {
        Objects.requireNonNull(start, "start is null");
        String startSuffix =
                start.startedMillis().isPresent() ? "@" + start.startedMillis().getAsLong() : "";
        return new EndpointCrash(start.id() + startSuffix, unanswered, partlyAnswered, parts);
    }

    /**
     * Returns the shared parts of a request's prompt.
     *
     * @param request the request
     * @return the parts; empty if none are known
     */
    public Set<PromptPart> partsOf(RequestDigest request) {
        return parts.getOrDefault(request, Set.of());
    }
}
