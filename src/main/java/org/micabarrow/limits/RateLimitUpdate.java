package org.micabarrow.limits;

import java.util.OptionalDouble;

/**
 * What processes tell each other of an endpoint's limit.
 *
 * @param endpoint names the endpoint, see {@link #token}; {@link #BESIDE} for the one beside the agent that tells
 * @param perSecond the limit in requests a second; empty if the endpoint names none any more
 * @param millisAgo how long ago the endpoint said so, in milliseconds
 */
public record RateLimitUpdate(int endpoint, OptionalDouble perSecond, int millisAgo) {

    /** Stands for the endpoint beside an agent, whose reports do not name it. */
    public static final int BESIDE = 0;

    /** Checks that the age and the limit are possible. */
    public RateLimitUpdate {
        if (millisAgo < 0) {
            throw new IllegalArgumentException("an age of " + millisAgo + " ms");
        }
        perSecond.ifPresent(RateLimitObservation::requireLimit);
    }

    /**
     * Names an endpoint in few bytes. Another one at the same address has another token, but for one in four thousand million.
     *
     * @param endpoint the endpoint's id
     * @return the token
     */
    public static int token(String endpoint) {
        return endpoint.hashCode();
    }

    /**
     * The word for some news.
     *
     * @param endpoint the endpoint's token
     * @param news the news
     * @param nowMillis the time on the steady clock
     * @return the word
     */
    public static RateLimitUpdate of(int endpoint, RateLimitObservation news, long nowMillis) {
        int millisAgo = (int) Math.clamp(nowMillis - news.atMillis(), 0, Integer.MAX_VALUE);
        return switch (news) {
            case RateLimitObservation.Named(double perSecond, long ignored) ->
                new RateLimitUpdate(endpoint, OptionalDouble.of(perSecond), millisAgo);
            case RateLimitObservation.Ended ignored -> new RateLimitUpdate(endpoint, OptionalDouble.empty(), millisAgo);
        };
    }

    /**
     * Whether this is about an endpoint.
     *
     * @param id the endpoint's id, where the agent that tells is beside it
     * @return true also if the agent did not name it
     */
    public boolean isOf(String id) {
        return endpoint == BESIDE || endpoint == token(id);
    }

    /**
     * The news by the clock of who was told. The word took up to a whole round trip. Where that leaves open which of two came last, an end
     * counts as the later one: a limit that goes on is named by the next answer, while an entry that sends nothing would never hear of an
     * end again.
     *
     * @param askedMillis when the question was sent that was answered with this, on the steady clock
     * @param nowMillis the time on the steady clock
     * @return the news
     */
    public RateLimitObservation news(long askedMillis, long nowMillis) {
        return perSecond.isPresent()
                ? new RateLimitObservation.Named(perSecond.getAsDouble(), askedMillis - millisAgo)
                : new RateLimitObservation.Ended(nowMillis - millisAgo);
    }
}
