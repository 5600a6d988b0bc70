package org.micabarrow.views;

import java.time.Duration;
import java.util.Objects;

/**
 * Divides the time in which an entry must know that an endpoint leaves among all that may delay it: the pause between two reads of the
 * store, the time for which the store holds a read, its answer, and the answer of a peer in its place.
 */
public final class LeavingBound {

    /**
     * How long the store's answer may take beyond the wait that was asked for. It answers in a few milliseconds; a slow one takes some fifty
     * times as long, and beyond this it counts as silent.
     */
    public static final Duration STORE_ANSWER = Duration.ofMillis(700);

    /** How long a peer's answer may take: one round trip between regions and a few milliseconds of work. */
    public static final Duration PEER_ANSWER = Duration.ofMillis(400);

    private static final double REST_PART = 0.25;
    private static final double HOLD_PART = 0.5;

    private LeavingBound() {}

    /**
     * How often entries read endpoints' entries.
     *
     * @param bound within which an endpoint that leaves must get nothing new
     * @return the pace
     */
    public static StoreFollower.Pace pace(Duration bound) {
        Objects.requireNonNull(bound, "bound is null");
        return new StoreFollower.Pace(part(bound, HOLD_PART), part(bound, REST_PART));
    }

    private static Duration part(Duration bound, double part) {
        return Duration.ofMillis(Math.round(bound.toMillis() * part));
    }
}
