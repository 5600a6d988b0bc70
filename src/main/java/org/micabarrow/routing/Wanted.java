package org.micabarrow.routing;

import java.util.Optional;
import java.util.Set;

/**
 * What is to be sent.
 *
 * @param promptTokens the tokens of its prompt, 0 for plain services
 * @param objectiveMillis the time within which it should begin to be answered
 * @param millisToObjective what is left of that time since its client first tried; 0 or less if it is over
 * @param millisLeft how long its client will still wait
 * @param model the figures of the service's model, empty for plain services
 * @param leastVersion the weight version that must answer; 0 for any
 * @param newestVersion the newest weight version that was named; 0 if none was
 * @param tried the ids of the endpoints that it was sent to already; one that has started again since counts all the same
 */
public record Wanted(
        int promptTokens,
        long objectiveMillis,
        long millisToObjective,
        long millisLeft,
        Optional<ModelProfile> model,
        long leastVersion,
        long newestVersion,
        Set<String> tried) {

    /** A request whose client tries for the first time, and waits for as long as it takes. */
    Wanted(
            int promptTokens,
            long objectiveMillis,
            Optional<ModelProfile> model,
            long leastVersion,
            long newestVersion,
            Set<String> tried) {
        this(promptTokens, objectiveMillis, objectiveMillis, Long.MAX_VALUE, model, leastVersion, newestVersion, tried);
    }

    boolean late() {
        return millisToObjective <= 0;
    }
}
