package org.micabarrow.liveness;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointStart;

/**
 * What the endpoint at an address says of itself.
 *
 * @param id its id; empty if it does not state it
 * @param startedMillis the Unix time of its start in milliseconds; empty if it does not state it
 */
public record EndpointIdentity(Optional<String> id, OptionalLong startedMillis) {

    /** Checks that no component is null. */
    public EndpointIdentity {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(startedMillis, "startedMillis is null");
    }

    /**
     * Returns whether this is certainly the given start.
     *
     * @param start the start
     * @return false if either does not tell when it began
     */
    public boolean confirms(EndpointStart start) {
        return !contradicts(start) && startedMillis.isPresent() && startedMillis.equals(start.startedMillis());
    }

    /**
     * Returns whether this is certainly not the given start: another endpoint, or the same one started at another time.
     *
     * @param start the start
     * @return false if it may be that start
     */
    public boolean contradicts(EndpointStart start) {
        boolean otherId = id.filter(stated -> !stated.equals(start.id())).isPresent();
        boolean otherTime = startedMillis.isPresent()
                && start.startedMillis().isPresent()
                && startedMillis.getAsLong() != start.startedMillis().getAsLong();
        return otherId || otherTime;
    }
}
