package org.micabarrow.limits;

import java.util.OptionalDouble;

/**
 * An update by which processes inform each other of an endpoint's rate limit.
 *
 * @param endpointToken identifies the endpoint, see {@link #token}; {@link #LOCAL_ENDPOINT} for the one beside the agent
 *     that sends the update
 * @param perSecond the limit in requests per second; empty if the endpoint no longer states one
 * @param ageMillis the time since the endpoint stated it, in milliseconds
 */
public record RateLimitUpdate(int endpointToken, OptionalDouble perSecond, int ageMillis) {

    /** Denotes the endpoint beside an agent, whose reports do not identify it. */
    public static final int LOCAL_ENDPOINT = 0;

    /** Checks that the age and the limit are valid. */
    public RateLimitUpdate {
        if (ageMillis < 0) {
            throw new IllegalArgumentException("age must not be negative: " + ageMillis + " ms");
        }
        perSecond.ifPresent(RateLimitObservation::requireValidLimit);
    }

    /**
     * Returns a compact identifier of an endpoint. The probability that another endpoint at the same address has the
     * same token is one in 2^32.
     *
     * @param endpoint the endpoint's id
     * @return the token
     */
    public static int token(String endpoint) {
        return endpoint.hashCode();
    }

    /**
     * Creates the update for an observation.
     *
     * @param endpoint the endpoint's token
     * @param observation the observation
     * @param nowMillis the time on the monotonic clock
     * @return the update
     */
    public static RateLimitUpdate of(int endpoint, RateLimitObservation observation, long nowMillis) {
        int ageMillis = (int) Math.clamp(nowMillis - observation.atMillis(), 0, Integer.MAX_VALUE);
        return switch (observation) {
            case RateLimitObservation.Stated(double perSecond, long ignored) ->
                new RateLimitUpdate(endpoint, OptionalDouble.of(perSecond), ageMillis);
            case RateLimitObservation.Lifted ignored ->
                new RateLimitUpdate(endpoint, OptionalDouble.empty(), ageMillis);
        };
    }

    /**
     * Returns whether this update concerns an endpoint.
     *
     * @param id the id of the endpoint beside the agent that sent the update
     * @return true also if the agent did not identify it
     */
    public boolean concerns(String id) {
        return endpointToken == LOCAL_ENDPOINT || endpointToken == token(id);
    }

    /**
     * Converts the update to an observation by the clock of the recipient. The update was under way for up to a whole
     * round trip. Where that leaves the order of two observations open, a lifted limit counts as the later one: a limit
     * that still applies is stated by the next response, while an entry that sends nothing would otherwise never learn
     * that the limit was lifted.
     *
     * @param queriedMillis the time at which the query was sent to which this is the reply, on the monotonic clock
     * @param nowMillis the time on the monotonic clock
     * @return the observation
     */
    public RateLimitObservation toObservation(long queriedMillis, long nowMillis) {
        return perSecond.isPresent()
                ? new RateLimitObservation.Stated(perSecond.getAsDouble(), queriedMillis - ageMillis)
                : new RateLimitObservation.Lifted(nowMillis - ageMillis);
    }
}
