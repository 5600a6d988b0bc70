package org.micabarrow.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request on which the selection of its endpoint depends.
 *
 * @param size the size of its prompt and answer, as far as stated
 * @param competingPromptTokens the tokens of the prompt by which it competes, at most those of its own: once it cannot
 *     be in time, it may still wait as long as a request with such a prompt
 * @param objectiveMillis the time within which its response should begin
 * @param millisToObjective the remainder of that time since its client's first attempt; 0 or less if it has passed
 * @param remainingMillis how long its client will still wait, in milliseconds
 * @param model the profile of the service's model, empty for plain services
 * @param minVersion the lowest weight version that may respond; 0 for any
 * @param newestVersion the newest announced weight version; 0 if there is none
 * @param triedEndpoints the ids of the endpoints to which it was already sent, including those that have restarted
 *     since
 * @param allowedRegions the regions in which it may be handled
 * @param requestClass the class by which it competes with others for capacity
 */
public record RoutingRequest(
        RequestSize size,
        int competingPromptTokens,
        long objectiveMillis,
        long millisToObjective,
        long remainingMillis,
        Optional<ModelProfile> model,
        long minVersion,
        long newestVersion,
        Set<String> triedEndpoints,
        AllowedRegions allowedRegions,
        RequestClass requestClass) {

    /** Checks that no component is null, and that the competing prompt is not longer than the request's own. */
    public RoutingRequest {
        Objects.requireNonNull(size, "size is null");
        Objects.requireNonNull(model, "model is null");
        Objects.requireNonNull(triedEndpoints, "triedEndpoints is null");
        Objects.requireNonNull(allowedRegions, "allowedRegions is null");
        Objects.requireNonNull(requestClass, "requestClass is null");
        if (competingPromptTokens > size.promptTokens()) {
            throw new IllegalArgumentException("competingPromptTokens is " + competingPromptTokens + ", more than the "
                    + size.promptTokens() + " of the prompt");
        }
    }

    /**
     * Creates a request that may be handled in any region and of which only the prompt is known, by which it competes.
     *
     * @param promptTokens the tokens of its prompt, 0 for plain services
     * @param objectiveMillis the time within which its response should begin
     * @param millisToObjective the remainder of that time since its client's first attempt; 0 or less if it has passed
     * @param remainingMillis how long its client will still wait, in milliseconds
     * @param model the profile of the service's model, empty for plain services
     * @param minVersion the lowest weight version that may respond; 0 for any
     * @param newestVersion the newest announced weight version; 0 if there is none
     * @param triedEndpoints the ids of the endpoints to which it was already sent
     */
    public RoutingRequest(
            int promptTokens,
            long objectiveMillis,
            long millisToObjective,
            long remainingMillis,
            Optional<ModelProfile> model,
            long minVersion,
            long newestVersion,
            Set<String> triedEndpoints) {
        this(
                RequestSize.ofPrompt(promptTokens),
                promptTokens,
                objectiveMillis,
                millisToObjective,
                remainingMillis,
                model,
                minVersion,
                newestVersion,
                triedEndpoints,
                AllowedRegions.any(),
                RequestClass.usual());
    }

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

    /** Returns the tokens of the prompt, 0 for plain services. */
    int promptTokens() {
        return size.promptTokens();
    }

    boolean objectivePassed() {
        return millisToObjective <= 0;
    }
}
