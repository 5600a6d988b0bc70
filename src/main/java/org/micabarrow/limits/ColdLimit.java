package org.micabarrow.limits;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The limit of an endpoint while it is cold, divided among the entries like a rate limit that the endpoint states. It
 * applies in addition to such a limit, and ends with the cold time. Not thread-safe: confined to one thread.
 */
public final class ColdLimit {

    /** How often a limit that stays in force is recorded anew, in milliseconds: well before it expires. */
    private static final long RENEWAL_MILLIS = 1_000;

    private final EndpointRateLimit limit;

    /** Spares decisions, which ask for all endpoints, the division while there is nothing to divide. */
    private boolean inForce;

    /**
     * Creates the limit of a warm endpoint.
     *
     * @param stated the rate limit that the endpoint states
     */
    public ColdLimit(EndpointRateLimit stated) {
        this.limit = Objects.requireNonNull(stated, "stated is null").another();
    }

    /**
     * Records the entry's rank as reported by the endpoint's agent.
     *
     * @param rank the rank
     */
    public void rankReported(EntryRank rank) {
        limit.rankReported(rank);
    }

    /**
     * Records that the entry sends a request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(long nowMillis) {
        limit.sent(nowMillis);
    }

    /**
     * Returns whether the entry may send a request now.
     *
     * @param perSecond the requests per second that the endpoint bears from all entries together; empty while it is
     *     warm
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return true also while it is warm
     */
    public boolean allows(OptionalDouble perSecond, boolean ranksAvailable, long nowMillis) {
        apply(perSecond, nowMillis);
        return !inForce || limit.allows(ranksAvailable, nowMillis);
    }

    /**
     * Returns the time until the entry may send a request.
     *
     * @param perSecond as for {@link #allows}
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, not below 0; empty if the limit is left to other entries
     */
    public OptionalLong untilNextRequestMillis(OptionalDouble perSecond, boolean ranksAvailable, long nowMillis) {
        apply(perSecond, nowMillis);
        return limit.untilNextRequestMillis(ranksAvailable, nowMillis);
    }

    private void apply(OptionalDouble perSecond, long nowMillis) {
        if (perSecond.isEmpty() && !inForce) {
            return;
        }
        if (perSecond.isEmpty()) {
            limit.updated(new RateLimitObservation.Lifted(nowMillis));
        } else if (needsRecording(perSecond.getAsDouble(), nowMillis)) {
            limit.updated(new RateLimitObservation.Stated(perSecond.getAsDouble(), nowMillis));
        }
        inForce = limit.current().isPresent();
    }

    private boolean needsRecording(double perSecond, long nowMillis) {
        return limit.current()
                .filter(known -> known.perSecond() == perSecond && nowMillis - known.atMillis() < RENEWAL_MILLIS)
                .isEmpty();
    }
}
