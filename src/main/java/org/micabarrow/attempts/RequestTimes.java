package org.micabarrow.attempts;

import java.util.Objects;

/**
 * The times of one request, all in milliseconds and on the process's monotonic clock.
 *
 * @param arrivedMillis the time of its arrival
 * @param deadlineMillis the time at which its client stops waiting
 * @param timeoutMillis the longest time for which its route holds it
 * @param objectiveMillis the time after its client's first attempt within which its response should begin
 * @param sinceFirstAttemptMillis the time between its client's first attempt and its arrival
 */
public record RequestTimes(
        long arrivedMillis,
        long deadlineMillis,
        long timeoutMillis,
        long objectiveMillis,
        long sinceFirstAttemptMillis) {

    /**
     * Returns the times of a request that arrives now.
     *
     * @param request the request
     * @param nowMillis the time on the monotonic clock
     * @param sinceFirstAttemptMillis the time since its client's first attempt
     * @return its times
     */
    public static RequestTimes of(ClientRequest request, long nowMillis, long sinceFirstAttemptMillis) {
        Objects.requireNonNull(request, "request is null");
        return new RequestTimes(
                nowMillis,
                request.deadlineMillis(),
                request.route().timeoutMillis(),
                request.route().objectiveMillis(),
                sinceFirstAttemptMillis);
    }

    /**
     * Returns the longest time for which the request is held.
     *
     * @return milliseconds from its arrival, at least 1
     */
    public long maxHoldMillis() {
        return Math.max(1, remainingMillis(arrivedMillis));
    }

    /**
     * Returns the time since the arrival of the request.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds since its arrival
     */
    public long elapsedMillis(long nowMillis) {
        return nowMillis - arrivedMillis;
    }

    /**
     * Returns the time until the client stops waiting or the route no longer holds the request.
     *
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds from now; 0 or less once that time has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.min(deadlineMillis - nowMillis, arrivedMillis + timeoutMillis - nowMillis);
    }

    /**
     * Returns the remainder of the objective since the client's first attempt. Once a response has begun, the full
     * objective applies to the rest of it.
     *
     * @param nowMillis the time on the monotonic clock
     * @param responseBegun whether the client has received part of a response
     * @return milliseconds from now; 0 or less once a response can no longer be in time
     */
    public long untilObjectiveMillis(long nowMillis, boolean responseBegun) {
        return responseBegun ? objectiveMillis : objectiveMillis - sinceFirstAttemptMillis - elapsedMillis(nowMillis);
    }
}
