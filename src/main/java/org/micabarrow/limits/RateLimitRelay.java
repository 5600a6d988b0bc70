package org.micabarrow.limits;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an agent passes on between entries of the limit that the endpoint beside it names: the newest of what entries heard in answers and
 * what the endpoint's reports say. Safe for several threads.
 */
public final class RateLimitRelay {

    private Optional<Kept> newest = Optional.empty();
    private boolean reportsName;

    private record Kept(int endpoint, RateLimitObservation news) {}

    /** Begins with no news. */
    public RateLimitRelay() {}

    /**
     * An entry told what it heard.
     *
     * @param word what it told
     * @param nowMillis the time on the steady clock
     */
    public synchronized void told(RateLimitUpdate word, long nowMillis) {
        Objects.requireNonNull(word, "word is null");
        keep(word.endpoint(), word.news(nowMillis, nowMillis));
    }

    /**
     * The endpoint reported. That a report names no limit tells something only if one before did: endpoints may name it in answers to
     * requests alone.
     *
     * @param perSecond the limit that the report names, empty if none
     * @param nowMillis the time on the steady clock
     */
    public synchronized void reported(OptionalDouble perSecond, long nowMillis) {
        if (perSecond.isPresent()) {
            keep(RateLimitUpdate.BESIDE, new RateLimitObservation.Named(perSecond.getAsDouble(), nowMillis));
        } else if (reportsName) {
            keep(RateLimitUpdate.BESIDE, new RateLimitObservation.Ended(nowMillis));
        }
        reportsName = perSecond.isPresent();
    }

    private void keep(int endpoint, RateLimitObservation news) {
        if (newest.filter(known -> !news.after(known.news())).isEmpty()) {
            newest = Optional.of(new Kept(endpoint, news));
        }
    }

    /**
     * What entries are told.
     *
     * @param nowMillis the time on the steady clock
     * @return the newest news; empty if there are none that still count
     */
    public synchronized Optional<RateLimitUpdate> word(long nowMillis) {
        return newest.filter(kept -> nowMillis - kept.news().atMillis() <= EndpointRateLimit.COUNTED_MILLIS)
                .map(kept -> RateLimitUpdate.of(kept.endpoint(), kept.news(), nowMillis));
    }
}
