package org.micabarrow.limits;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Passes the rate limit of the endpoint beside an agent on to entries: the newest of the entries' own observations and
 * the endpoint's reports. Thread-safe.
 */
public final class RateLimitRelay {

    private Optional<Latest> latest = Optional.empty();
    private boolean lastReportHadLimit;

    private record Latest(int endpointToken, RateLimitObservation observation) {}

    /** Creates a relay without observations. */
    public RateLimitRelay() {}

    /**
     * Records the update of an entry.
     *
     * @param update the update
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void received(RateLimitUpdate update, long nowMillis) {
        Objects.requireNonNull(update, "update is null");
        offer(update.endpointToken(), update.toObservation(nowMillis, nowMillis));
    }

    /**
     * Records a report of the endpoint. A report without a limit is significant only if the previous one stated a
     * limit, since endpoints may state it in responses to requests alone.
     *
     * @param perSecond the limit that the report states, empty if none
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void reported(OptionalDouble perSecond, long nowMillis) {
        if (perSecond.isPresent()) {
            offer(RateLimitUpdate.LOCAL_ENDPOINT, new RateLimitObservation.Stated(perSecond.getAsDouble(), nowMillis));
        } else if (lastReportHadLimit) {
            offer(RateLimitUpdate.LOCAL_ENDPOINT, new RateLimitObservation.Lifted(nowMillis));
        }
        lastReportHadLimit = perSecond.isPresent();
    }

    private void offer(int endpointToken, RateLimitObservation observation) {
        if (latest.filter(known -> !observation.isNewerThan(known.observation()))
                .isEmpty()) {
            latest = Optional.of(new Latest(endpointToken, observation));
        }
    }

    /**
     * Returns the update that is sent to entries.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the newest observation; empty if there is none or it has expired
     */
    public synchronized Optional<RateLimitUpdate> update(long nowMillis) {
        return latest.filter(kept -> nowMillis - kept.observation().atMillis() <= EndpointRateLimit.EXPIRY_MILLIS)
                .map(kept -> RateLimitUpdate.of(kept.endpointToken(), kept.observation(), nowMillis));
    }
}
