package org.micabarrow.attempts;

import java.util.Objects;

/**
 * The times of one request, all in milliseconds and on the process's steady clock.
 *
 * @param beganMillis when it arrived
 * @param deadlineMillis when its client stops waiting
 * @param timeoutMillis how long its route holds it at the most
 * @param objectiveMillis within which time of its client's first try its answer is to begin
 * @param sinceFirstTryMillis how long before its arrival its client first tried
 */
public record RequestTimes(
        long beganMillis, long deadlineMillis, long timeoutMillis, long objectiveMillis, long sinceFirstTryMillis) {

    /**
     * The times of a request that arrives.
     *
     * @param request the request
     * @param nowMillis the time on the steady clock
     * @param sinceFirstTryMillis how long ago its client first tried
     * @return its times
     */
    public static RequestTimes of(ClientRequest request, long nowMillis, long sinceFirstTryMillis) {
        Objects.requireNonNull(request, "request is null");
        return new RequestTimes(
                nowMillis,
                request.deadlineMillis(),
                request.route().timeoutMillis(),
                request.route().objectiveMillis(),
                sinceFirstTryMillis);
    }

    /**
     * How long the request is held.
     *
     * @return milliseconds from its arrival, at least 1
     */
    public long heldMillis() {
        return Math.max(1, leftMillis(beganMillis));
    }

    /**
     * How long it has been here.
     *
     * @param nowMillis the time on the steady clock
     * @return milliseconds since its arrival
     */
    public long takenMillis(long nowMillis) {
        return nowMillis - beganMillis;
    }

    /**
     * What is left until its client stops waiting or its route holds it no longer.
     *
     * @param nowMillis the time on the steady clock
     * @return milliseconds from now; 0 or less once it is over
     */
    public long leftMillis(long nowMillis) {
        return Math.min(deadlineMillis - nowMillis, beganMillis + timeoutMillis - nowMillis);
    }

    /**
     * What is left of the objective since the client first tried; the rest of an answer that has begun is always urgent.
     *
     * @param nowMillis the time on the steady clock
     * @param answerBegun whether its client has got a part of an answer
     * @return milliseconds from now; 0 or less once an answer cannot be in time any more
     */
    public long toObjectiveMillis(long nowMillis, boolean answerBegun) {
        return answerBegun ? objectiveMillis : objectiveMillis - sinceFirstTryMillis - takenMillis(nowMillis);
    }
}
