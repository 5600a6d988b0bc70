package org.micabarrow.limits;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one entry knows of the limit of one start of an endpoint, and when its own part of it allows the next request. Requests are kept
 * apart by a whole period each, so that time in which none comes, or in which the process stands still, saves up nothing. Used by one
 * thread.
 */
public final class EndpointRateLimit {

    private static final Logger LOG = LoggerFactory.getLogger("org.micabarrow.request");

    /**
     * For how long what was heard counts with others, in milliseconds. A limit that was not named again for that long is no longer left to the
     * entries that take part: the end of it may have passed this entry by.
     */
    static final long COUNTED_MILLIS = 30_000;

    private final String endpoint;
    private final EntryCount entries;
    private final RandomGenerator random;
    private Optional<RateLimitObservation> heard = Optional.empty();
    private Optional<RateLimitObservation> newest = Optional.empty();
    private Optional<EntryRank> rank = Optional.empty();

    /** Empty while the entry takes no part. */
    private Optional<QuotaShare> share = Optional.empty();

    private long sinceMillis;

    /**
     * Begins without a limit.
     *
     * @param endpoint the endpoint's id
     * @param entries how many entries there are
     * @param random spreads the first requests of entries that do not know their ranks
     */
    public EndpointRateLimit(String endpoint, EntryCount entries, RandomGenerator random) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.entries = Objects.requireNonNull(entries, "entries is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    // -- what is said

    /**
     * An answer of the endpoint came.
     *
     * @param perSecond the limit that it names, in requests a second; empty if none
     * @param sentMillis when the request was sent, on the steady clock
     * @param nowMillis the time on the steady clock
     * @return whether the limit is another than before
     */
    public boolean answered(OptionalDouble perSecond, long sentMillis, long nowMillis) {
        return perSecond.isPresent()
                ? hear(new RateLimitObservation.Named(perSecond.getAsDouble(), nowMillis))
                : notNamed(sentMillis, nowMillis);
    }

    /** The answer to a request that was sent before the limit was named may have been on its way since before, and tells nothing. */
    private boolean notNamed(long sentMillis, long nowMillis) {
        return limit().filter(named -> named.atMillis() <= sentMillis).isPresent()
                && hear(new RateLimitObservation.Ended(nowMillis));
    }

    private boolean hear(RateLimitObservation news) {
        heard = Optional.of(news);
        return take(news);
    }

    /**
     * Another process told what the endpoint said to it.
     *
     * @param news the news, by this process's steady clock
     * @return whether the limit is another than before
     */
    public boolean told(RateLimitObservation news) {
        return newest.filter(known -> !news.after(known)).isEmpty() && take(news);
    }

    private boolean take(RateLimitObservation news) {
        Optional<Double> before = limit().map(RateLimitObservation.Named::perSecond);
        newest = Optional.of(news);
        if (limit().isEmpty()) {
            share = Optional.empty();
        }
        return !before.equals(limit().map(RateLimitObservation.Named::perSecond));
    }

    /**
     * The endpoint's agent told the entry's rank.
     *
     * @param told the rank
     */
    public void ranked(EntryRank told) {
        rank = Optional.of(Objects.requireNonNull(told, "told is null"));
    }

    /**
     * What this entry heard from the endpoint itself and tells others.
     *
     * @param nowMillis the time on the steady clock
     * @return the word; empty if there is none that still counts
     */
    public Optional<RateLimitUpdate> word(long nowMillis) {
        return heard.filter(news -> nowMillis - news.atMillis() <= COUNTED_MILLIS)
                .map(news -> RateLimitUpdate.of(RateLimitUpdate.token(endpoint), news, nowMillis));
    }

    /**
     * The limit.
     *
     * @return the limit with the moment at which it was said; empty if the endpoint names none
     */
    public Optional<RateLimitObservation.Named> limit() {
        return newest.filter(RateLimitObservation.Named.class::isInstance).map(RateLimitObservation.Named.class::cast);
    }

    /**
     * Writes a line about the limit as it is now.
     *
     * @param from who said so
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
     * Whether the entry may send a request now.
     *
     * @param agentTells whether the endpoint's agent tells ranks now
     * @param nowMillis the time on the steady clock
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
     * How long it takes until the entry may send a request.
     *
     * @param agentTells whether the endpoint's agent tells ranks now
     * @param nowMillis the time on the steady clock
     * @return milliseconds, not below 0; empty if the limit is left to other entries
     */
    public OptionalLong untilNextMillis(boolean agentTells, long nowMillis) {
        if (limit().isEmpty()) {
            return OptionalLong.of(0);
        }
        RateLimitObservation.Named named = limit().get();
        takePart(named, agentTells, nowMillis);
        return share.isPresent()
                ? OptionalLong.of(Math.max(0, sinceMillis + periodMillis(share.get(), named) - nowMillis))
                : OptionalLong.empty();
    }

    /**
     * The entry sends a request.
     *
     * @param nowMillis the time on the steady clock
     */
    public void sent(long nowMillis) {
        sinceMillis = nowMillis;
    }

    /** Works out the share. An entry that did not take part in this way before begins at a moment of its own. */
    private void takePart(RateLimitObservation.Named named, boolean agentTells, long nowMillis) {
        QuotaShare present = share(named, agentTells, nowMillis);
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

    private QuotaShare share(RateLimitObservation.Named named, boolean agentTells, long nowMillis) {
        boolean lately = nowMillis - named.atMillis() <= COUNTED_MILLIS;
        return agentTells && lately && rank.isPresent()
                ? new QuotaShare.Ranked(rank.get())
                : new QuotaShare.Unranked(entries.count());
    }

    private static long periodMillis(QuotaShare share, RateLimitObservation.Named named) {
        return share.periodMillis(named.perSecond()).orElseThrow();
    }
}
