package org.micabarrow.limits;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one entry knows about the rate limit of one start of an endpoint, and when its quota share allows the next
 * request. Requests are spaced by a whole period each, so no burst credit accumulates while none arrive or the process
 * is paused. Not thread-safe: confined to one thread.
 */
public final class EndpointRateLimit {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /**
     * Time for which an observation is passed on to other processes, in milliseconds. A limit that has not been stated
     * again for that long is also no longer left to the entries with a share of it, since this entry may have missed
     * that it was lifted.
     */
    static final long EXPIRY_MILLIS = 30_000;

    private final String endpoint;
    private final EntryCount entryCount;
    private final RandomGenerator random;
    private Optional<RateLimitObservation> ownObservation = Optional.empty();
    private Optional<RateLimitObservation> latest = Optional.empty();
    private Optional<EntryRank> rank = Optional.empty();

    /** Empty while this entry has no share of the limit. */
    private Optional<QuotaShare> share = Optional.empty();

    private long periodStartMillis;

    /**
     * Creates the state of an endpoint without a rate limit.
     *
     * @param endpoint the endpoint's id
     * @param entryCount the number of entries
     * @param random spreads the first requests of entries that do not know their ranks
     */
    public EndpointRateLimit(String endpoint, EntryCount entryCount, RandomGenerator random) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.entryCount = Objects.requireNonNull(entryCount, "entryCount is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Creates the state of another limit of the same endpoint, which is divided in the same way.
     *
     * @return the state without a limit
     */
    EndpointRateLimit another() {
        return new EndpointRateLimit(endpoint, entryCount, random);
    }

    // -- observations

    /**
     * Records a response of the endpoint.
     *
     * @param perSecond the limit that it states, in requests per second; empty if it states none
     * @param sentMillis the time at which the request was sent, on the monotonic clock
     * @param nowMillis the time on the monotonic clock
     * @return whether the limit changed
     */
    public boolean responseReceived(OptionalDouble perSecond, long sentMillis, long nowMillis) {
        return perSecond.isPresent()
                ? observe(new RateLimitObservation.Stated(perSecond.getAsDouble(), nowMillis))
                : limitAbsent(sentMillis, nowMillis);
    }

    /**
     * Ignores the response to a request that was sent before the limit was stated: it may have been under way since
     * then.
     */
    private boolean limitAbsent(long sentMillis, long nowMillis) {
        return current().filter(stated -> stated.atMillis() <= sentMillis).isPresent()
                && observe(new RateLimitObservation.Lifted(nowMillis));
    }

    private boolean observe(RateLimitObservation observation) {
        ownObservation = Optional.of(observation);
        return apply(observation);
    }

    /**
     * Records what the endpoint stated to another process.
     *
     * @param observation the observation, by this process's monotonic clock
     * @return whether the limit changed
     */
    public boolean updated(RateLimitObservation observation) {
        return latest.filter(known -> !observation.isNewerThan(known)).isEmpty() && apply(observation);
    }

    private boolean apply(RateLimitObservation observation) {
        Optional<Double> before = current().map(RateLimitObservation.Stated::perSecond);
        latest = Optional.of(observation);
        if (current().isEmpty()) {
            share = Optional.empty();
        }
        return !before.equals(current().map(RateLimitObservation.Stated::perSecond));
    }

    /**
     * Records the entry's rank as reported by the endpoint's agent.
     *
     * @param newRank the rank
     */
    public void rankReported(EntryRank newRank) {
        rank = Optional.of(Objects.requireNonNull(newRank, "newRank is null"));
    }

    /**
     * Returns the update with this entry's own observation for other processes.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the update; empty if there is no observation or it has expired
     */
    public Optional<RateLimitUpdate> ownUpdate(long nowMillis) {
        return ownObservation
                .filter(observation -> nowMillis - observation.atMillis() <= EXPIRY_MILLIS)
                .map(observation -> RateLimitUpdate.of(RateLimitUpdate.token(endpoint), observation, nowMillis));
    }

    /**
     * Returns the current limit.
     *
     * @return the limit and the time at which it was stated; empty if the endpoint states none
     */
    public Optional<RateLimitObservation.Stated> current() {
        return latest.filter(RateLimitObservation.Stated.class::isInstance)
                .map(RateLimitObservation.Stated.class::cast);
    }

    /**
     * Logs the current limit after a change.
     *
     * @param from the source of the change
     */
    public void logChange(String from) {
        LOG.info(
                "event=endpoint_limit endpoint={} perSecond={} from={} rank={} entries={}",
                endpoint,
                current().map(stated -> String.valueOf(stated.perSecond())).orElse("none"),
                from,
                rank.map(one -> one.rank() + "/" + one.entries()).orElse("-"),
                entryCount.count());
    }

    // -- sending

    /**
     * Returns whether the entry may send a request now.
     *
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return true also if there is no limit
     */
    public boolean allows(boolean ranksAvailable, long nowMillis) {
        if (latest.isEmpty()) {
            return true;
        }
        OptionalLong waitMillis = untilNextRequestMillis(ranksAvailable, nowMillis);
        return waitMillis.isPresent() && waitMillis.getAsLong() == 0;
    }

    /**
     * Returns the time until the entry may send a request.
     *
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, not below 0; empty if the limit is left to other entries
     */
    public OptionalLong untilNextRequestMillis(boolean ranksAvailable, long nowMillis) {
        if (current().isEmpty()) {
            return OptionalLong.of(0);
        }
        RateLimitObservation.Stated stated = current().get();
        updateShare(stated, ranksAvailable, nowMillis);
        return share.isPresent()
                ? OptionalLong.of(Math.max(0, periodStartMillis + periodMillis(share.get(), stated) - nowMillis))
                : OptionalLong.empty();
    }

    /**
     * Records that the entry sends a request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(long nowMillis) {
        periodStartMillis = nowMillis;
    }

    /**
     * Updates the quota share. When an entry gets a share of this kind for the first time, its first period is offset
     * from those of other entries.
     */
    private void updateShare(RateLimitObservation.Stated stated, boolean ranksAvailable, long nowMillis) {
        QuotaShare newShare = computeShare(stated, ranksAvailable, nowMillis);
        if (newShare.periodMillis(stated.perSecond()).isEmpty()) {
            share = Optional.empty();
            return;
        }
        if (share.filter(before -> before.getClass() == newShare.getClass()).isEmpty()) {
            long firstDelayMillis = newShare.firstDelayMillis(stated.perSecond(), random.nextDouble());
            periodStartMillis = nowMillis + firstDelayMillis - periodMillis(newShare, stated);
        }
        share = Optional.of(newShare);
    }

    private QuotaShare computeShare(RateLimitObservation.Stated stated, boolean ranksAvailable, long nowMillis) {
        boolean recent = nowMillis - stated.atMillis() <= EXPIRY_MILLIS;
        return ranksAvailable && recent && rank.isPresent()
                ? new QuotaShare.Ranked(rank.get())
                : new QuotaShare.Unranked(entryCount.count());
    }

    private static long periodMillis(QuotaShare share, RateLimitObservation.Stated stated) {
        return share.periodMillis(stated.perSecond()).orElseThrow();
    }
}
