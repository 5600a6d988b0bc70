package org.micabarrow.attempts;

import java.util.function.BooleanSupplier;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;

/** Decides whether a request whose sending failed is sent again. */
public final class AttemptPolicy {

    /**
     * How many objectives an endpoint has for each part of an answer: after one the answer is late wherever it comes from, and a busy
     * endpoint may still be about to send.
     */
    private static final int OVERDUE_OBJECTIVES = 2;

    /**
     * The least time in which another endpoint could still answer, in milliseconds: a round trip to another region and a
     * short piece of work.
     */
    public static final long LEAST_MILLIS_LEFT = 50;

    private AttemptPolicy() {}

    /**
     * What has happened to a request so far.
     *
     * @param sendings to how many endpoints it was sent
     * @param mayHaveRun whether one of them may have run it
     * @param millisLeft the time that remains
     */
    public record Progress(int sendings, boolean mayHaveRun, long millisLeft) {}

    /**
     * Whether the next part of an answer is so late that another endpoint may be asked, although nothing else shows that the present
     * one has lost the request.
     *
     * @param route the request's route
     * @param awaitedMillis how long ago the request or the last part of its answer went, in milliseconds
     * @return false for what may run only once
     */
    public static boolean overdue(Route route, long awaitedMillis) {
        return route.kind().repeatable() && awaitedMillis > OVERDUE_OBJECTIVES * route.objectiveMillis();
    }

    /**
     * Decides.
     *
     * @param route the request's route
     * @param progress what has happened so far, the failed sending included
     * @param budget takes one repeat out of the process's budget, if there is one left
     * @return whether to send it again
     */
    public static boolean again(Route route, Progress progress, BooleanSupplier budget) {
        RequestKind kind = route.kind();
        if (progress.mayHaveRun() && !kind.repeatable()) {
            return false;
        }
        if (progress.sendings() >= route.maxAttempts() || progress.millisLeft() < LEAST_MILLIS_LEFT) {
            return false;
        }
        return budget.getAsBoolean();
    }
}
