package org.micabarrow.attempts;

import java.util.function.BooleanSupplier;
import org.micabarrow.routing.RequestKind;
import org.micabarrow.routing.Route;

/** Decides whether a request is sent again after a failed attempt. */
public final class AttemptPolicy {

    /**
     * The time that an endpoint has for each part of a response, in objectives. After one objective the response is
     * late wherever it comes from, and a busy endpoint may still be about to send it.
     */
    private static final int OVERDUE_OBJECTIVES = 2;

    /**
     * The shortest remaining time in which another endpoint could still respond, in milliseconds: a round trip to
     * another region and a short piece of work.
     */
    public static final long MIN_REMAINING_MILLIS = 50;

    private AttemptPolicy() {}

    /**
     * The state of a request after its attempts so far.
     *
     * @param attempts the number of attempts
     * @param mayHaveRun whether one of the endpoints may have run it
     * @param remainingMillis the remaining time in milliseconds
     */
    public record Progress(int attempts, boolean mayHaveRun, long remainingMillis) {}

    /**
     * Returns whether the next part of a response is so late that another endpoint may be used, although nothing else
     * indicates that the present one has lost the request.
     *
     * @param route the request's route
     * @param waitedMillis the time since the request or the last part of its response was sent, in milliseconds
     * @return false for requests that may run only once
     */
    public static boolean overdue(Route route, long waitedMillis) {
        return route.kind().repeatable() && waitedMillis > OVERDUE_OBJECTIVES * route.objectiveMillis();
    }

    /**
     * Returns whether to make another attempt.
     *
     * @param route the request's route
     * @param progress the state so far, including the failed attempt
     * @param budget takes one repetition out of the process's budget, if there is one left
     * @return true if the request is to be sent again
     */
    public static boolean allowsAnotherAttempt(Route route, Progress progress, BooleanSupplier budget) {
        RequestKind kind = route.kind();
        if (progress.mayHaveRun() && !kind.repeatable()) {
            return false;
        }
        if (progress.attempts() >= route.maxAttempts() || progress.remainingMillis() < MIN_REMAINING_MILLIS) {
            return false;
        }
        return budget.getAsBoolean();
    }
}
