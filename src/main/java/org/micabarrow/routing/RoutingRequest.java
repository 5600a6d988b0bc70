package org.micabarrow.routing;

import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request on which the selection of its endpoint depends.
 *
 * @param promptTokens the tokens of its prompt, 0 for plain services
 * @param objectiveMillis the time within which its response should begin
 * @param millisToObjective the remainder of that time since its client's first attempt; 0 or less if it has passed
 * @param remainingMillis how long its client will still wait, in milliseconds
 * @param model the profile of the service's model, empty for plain services
 * @param minVersion the lowest weight version that may respond; 0 for any
 * @param newestVersion the newest announced weight version; 0 if there is none
 * @param triedEndpoints the ids of the endpoints to which it was already sent, including those that have restarted
 *     since
 */
public record RoutingRequest(
        int promptTokens,
        long objectiveMillis,
        long millisToObjective,
        long remainingMillis,
        Optional<ModelProfile> model,
        long minVersion,
        long newestVersion,
        Set<String> triedEndpoints) {

    /** Creates a first attempt of a client that waits without a limit. */
    RoutingRequest(
            int promptTokens,
            long objectiveMillis,
            Optional<ModelProfile> model,
            long minVersion,
            long newestVersion,
            Set<String> triedEndpoints) {
        this(
                promptTokens,
                objectiveMillis,
                objectiveMillis,
                Long.MAX_VALUE,
                model,
                minVersion,
                newestVersion,
                triedEndpoints);
    }

    boolean objectivePassed() {
        return millisToObjective <= 0;
    }
}
