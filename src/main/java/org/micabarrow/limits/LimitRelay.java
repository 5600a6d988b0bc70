package org.micabarrow.limits;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Passes the rate limit of the endpoint beside an agent on to entries: the newest of the entries' own observations and
 * the endpoint's reports. Thread-safe.
 */
public final class LimitRelay {

    private Optional<Kept> newest = Optional.empty();
    private boolean reportsName;

    private record Kept(int endpoint, LimitNews news) {}

    /** Creates a relay without observations. */
    public LimitRelay() {}

    /**
     * Records the update of an entry.
     *
     * @param update the update
     * @param nowMillis the time on the monotonic clock
     */
    public synchronized void told(LimitWord word, long nowMillis) {
        Objects.requireNonNull(word, "word is null");
        keep(word.endpoint(), word.news(nowMillis, nowMillis));
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
            keep(LimitWord.BESIDE, new LimitNews.Named(perSecond.getAsDouble(), nowMillis));
        } else if (reportsName) {
            keep(LimitWord.BESIDE, new LimitNews.Ended(nowMillis));
        }
        reportsName = perSecond.isPresent();
    }

    private void keep(int endpoint, LimitNews news) {
        if (newest.filter(known -> !news.after(known.news())).isEmpty()) {
            newest = Optional.of(new Kept(endpoint, news));
        }
    }

    /**
     * Returns the update that is sent to entries.
     *
     * @param nowMillis the time on the monotonic clock
     * @return the newest observation; empty if there is none or it has expired
     */
    public synchronized Optional<LimitWord> word(long nowMillis) {
        return newest.filter(kept -> nowMillis - kept.news().atMillis() <= EndpointLimit.COUNTED_MILLIS)
                .map(kept -> LimitWord.of(kept.endpoint(), kept.news(), nowMillis));
    }
}
