package org.micabarrow.attempts;

import org.micabarrow.routing.Route;

/**
 * Decides whether a request whose response has not begun goes to another endpoint while the response can still be in
 * time there. {@link AttemptPolicy#overdue} applies when it is late anyway.
 */
public final class EarlySwitch {

    private EarlySwitch() {}

    /**
     * The state of a request at an endpoint whose first event has not come.
     *
     * @param waitedMillis the time since it was sent, in milliseconds
     * @param expectedMillis the time from then to the first event by what is known of the endpoint now, in milliseconds
     * @param millisToObjective the remainder of its objective; 0 or less if it has passed
     * @param silent whether the endpoint has stopped sending to any request
     */
    public record Waiting(long waitedMillis, double expectedMillis, long millisToObjective, boolean silent) {

        /** Whether the first event is expected after the objective, or not at all. */
        private boolean lateHere() {
            return silent || expectedMillis - waitedMillis > millisToObjective;
        }
    }

    /**
     * Returns whether another endpoint is worth looking for.
     *
     * @param route the request's route
     * @param waiting its state
     * @return false if it may run only once, is expected in time, or is late wherever it runs
     */
    public static boolean due(Route route, Waiting waiting) {
        return route.kind().repeatable() && waiting.millisToObjective() > 0 && waiting.lateHere();
    }

    /**
     * Returns whether a response would be in time at another endpoint.
     *
     * @param waiting the request's state
     * @param predictedMillis the predicted time to the first event there, in milliseconds
     * @return true if it would
     */
    public static boolean inTimeElsewhere(Waiting waiting, double predictedMillis) {
        return predictedMillis < waiting.millisToObjective();
    }
}
