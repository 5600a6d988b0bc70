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
public final class EndpointLimit {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /**
     * Time for which an observation is passed on to other processes, in milliseconds. A limit that has not been stated
     * again for that long is also no longer left to the entries with a share of it, since this entry may have missed
     * that it was lifted.
     */
    static final long COUNTED_MILLIS = 30_000;

    private final String endpoint;
    private final KnownEntries entries;
    private final RandomGenerator random;
    private Optional<LimitNews> heard = Optional.empty();
    private Optional<LimitNews> newest = Optional.empty();
    private Optional<EntryRank> rank = Optional.empty();

    /** Empty while this entry has no share of the limit. */
    private Optional<LimitShare> share = Optional.empty();

    private long sinceMillis;

    /**
     * Creates the state of an endpoint without a rate limit.
     *
     * @param endpoint the endpoint's id
     * @param entryCount the number of entries
     * @param random spreads the first requests of entries that do not know their ranks
     */
    public EndpointLimit(String endpoint, KnownEntries entries, RandomGenerator random) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
        this.random = Objects.requireNonNull(random, "random is null");
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
    public boolean answered(OptionalDouble perSecond, long sentMillis, long nowMillis) {
        return perSecond.isPresent()
                ? hear(new LimitNews.Named(perSecond.getAsDouble(), nowMillis))
                : notNamed(sentMillis, nowMillis);
    }

    /**
     * Ignores the response to a request that was sent before the limit was stated: it may have been under way since
     * then.
     */
    private boolean notNamed(long sentMillis, long nowMillis) {
        return limit().filter(named -> named.atMillis() <= sentMillis).isPresent()
                && hear(new LimitNews.Ended(nowMillis));
    }

    private boolean hear(LimitNews news) {
        heard = Optional.of(news);
        return take(news);
    }

    /**
     * Records what the endpoint stated to another process.
     *
     * @param observation the observation, by this process's monotonic clock
     * @return whether the limit changed
     */
    public boolean told(LimitNews news) {
        return newest.filter(known -> !news.after(known)).isEmpty() && take(news);
    }

    private boolean take(LimitNews news) {
        Optional<Double> before = limit().map(LimitNews.Named::perSecond);
        newest = Optional.of(news);
        if (limit().isEmpty()) {
            share = Optional.empty();
        }
        return !before.equals(limit().map(LimitNews.Named::perSecond));
    }

    /**
     * Records the entry's rank as reported by the endpoint's agent.
     *
     * @param newRank the rank
     */
    public void ranked(EntryRank told) {
        rank = Optional.of(Objects.requireNonNull(told, "told is null"));
    }

    /**
     * Returns the update with this entry's own observation for other processes.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the update; empty if there is no observation or it has expired
     */
    public Optional<LimitWord> word(long nowMillis) {
        return heard.filter(news -> nowMillis - news.atMillis() <= COUNTED_MILLIS)
                .map(news -> LimitWord.of(LimitWord.token(endpoint), news, nowMillis));
    }

    /**
     * Returns the current limit.
     *
     * @return the limit and the time at which it was stated; empty if the endpoint states none
     */
    public Optional<LimitNews.Named> limit() {
        return newest.filter(LimitNews.Named.class::isInstance).map(LimitNews.Named.class::cast);
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
                limit().map(named -> String.valueOf(named.perSecond())).orElse("none"),
                from,
                rank.map(one -> one.rank() + "/" + one.entries()).orElse("-"),
                entries.count());
    }

    // -- sending

    /**
     * Returns whether the entry may send a request now.
     *
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return true also if there is no limit
     */
    public boolean allows(boolean agentTells, long nowMillis) {
        if (newest.isEmpty()) {
            return true;
        }
        OptionalLong left = untilNextMillis(agentTells, nowMillis);
        return left.isPresent() && left.getAsLong() == 0;
    }

    /**
     * Returns the time until the entry may send a request.
     *
     * @param ranksAvailable whether the endpoint's agent currently reports ranks
     * @param nowMillis the time on the monotonic clock
     * @return milliseconds, not below 0; empty if the limit is left to other entries
     */
    public OptionalLong untilNextMillis(boolean agentTells, long nowMillis) {
        if (limit().isEmpty()) {
            return OptionalLong.of(0);
        }
        LimitNews.Named named = limit().get();
        takePart(named, agentTells, nowMillis);
        return share.isPresent()
                ? OptionalLong.of(Math.max(0, sinceMillis + periodMillis(share.get(), named) - nowMillis))
                : OptionalLong.empty();
    }

    /**
     * Records that the entry sends a request.
     *
     * @param nowMillis the time on the monotonic clock
     */
    public void sent(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /**
     * Updates the quota share. When an entry gets a share of this kind for the first time, its first period is offset
     * from those of other entries.
     */
    private void takePart(LimitNews.Named named, boolean agentTells, long nowMillis) {
        LimitShare present = share(named, agentTells, nowMillis);
        if (present.periodMillis(named.perSecond()).isEmpty()) {
            share = Optional.empty();
            return;
        }
        if (share.filter(before -> before.getClass() == present.getClass()).isEmpty()) {
            long first = present.firstAfterMillis(named.perSecond(), random.nextDouble());
            sinceMillis = nowMillis + first - periodMillis(present, named);
        }
        share = Optional.of(present);
    }

    private LimitShare share(LimitNews.Named named, boolean agentTells, long nowMillis) {
        boolean lately = nowMillis - named.atMillis() <= COUNTED_MILLIS;
        return agentTells && lately && rank.isPresent()
                ? new LimitShare.Ranked(rank.get())
                : new LimitShare.Unranked(entries.count());
    }

    private static long periodMillis(LimitShare share, LimitNews.Named named) {
        return share.periodMillis(named.perSecond()).orElseThrow();
    }
}
