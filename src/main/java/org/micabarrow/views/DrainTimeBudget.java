package org.micabarrow.views;

import java.time.Duration;
import java.util.Objects;

/**
 * Divides the time in which an entry must know that an endpoint leaves among all that may delay it: the pause between two reads of the
 * store, the time for which the store holds a read, its answer, and the answer of a peer in its place.
 */
public final class DrainTimeBudget {

    /**
     * How long the store's answer may take beyond the wait that was asked for. It answers in a few milliseconds; a slow one takes some fifty
     * times as long, and beyond this it counts as silent.
     */
    public static final Duration STORE_ANSWER = Duration.ofMillis(700);

    /** How long a peer's answer may take: one round trip between regions and a few milliseconds of work. */
    public static final Duration PEER_ANSWER = Duration.ofMillis(400);

    /** The pause between two reads, as a part of the bound: endpoints write their entries often, and many come with one read. */
    private static final double REST_PART = 0.25;

    /** What is left for round trips and for work. */
    private static final Duration RESERVE = Duration.ofMillis(100);

    /** The least time for which a read is held. Without any, a store in which nothing changes would be read without a pause. */
    private static final Duration LEAST_HOLD = Duration.ofMillis(100);

    private DrainTimeBudget() {}

    /**
     * How often entries read endpoints' entries. At worst an endpoint leaves at the beginning of a pause, in which the store falls silent: its
     * answer, that of a peer that is gone and that of the next peer are waited for in turn. The store holds a read for what these leave,
     * so that a bound of 1.8 s or more is kept.
     *
     * @param bound within which an endpoint that leaves must get nothing new
     * @return the pace
     */
    public static StoreFollower.Pace pace(Duration bound) {
        Objects.requireNonNull(bound, "bound is null");
        Duration rest = Duration.ofMillis(Math.round(bound.toMillis() * REST_PART));
        Duration hold = bound.minus(rest).minus(STORE_ANSWER).minus(PEER_ANSWER).minus(RESERVE);
        return new StoreFollower.Pace(hold.compareTo(LEAST_HOLD) < 0 ? LEAST_HOLD : hold, rest);
    }
}
