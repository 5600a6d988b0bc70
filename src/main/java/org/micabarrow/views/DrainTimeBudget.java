package org.micabarrow.views;

import java.time.Duration;
import java.util.Objects;

/**
 * Divides the time within which an entry must learn that an endpoint is draining among everything that may delay it:
 * the pause between two reads of the store, the time for which the store holds a read, its response, and the response
 * of a peer if the store fails.
 */
public final class DrainTimeBudget {

    /**
     * How long the store's response may take beyond the requested wait. It normally responds within a few milliseconds;
     * a slow store takes some fifty times as long, and after this time it counts as unresponsive.
     */
    public static final Duration STORE_RESPONSE_TIMEOUT = Duration.ofMillis(700);

    /** How long a peer's response may take: one round trip between regions and a few milliseconds of processing. */
    public static final Duration PEER_RESPONSE_TIMEOUT = Duration.ofMillis(400);

    /**
     * The pause between two reads, as a fraction of the bound. Endpoints write their entries often, and the pause lets
     * one read return many of them.
     */
    private static final double PAUSE_FRACTION = 0.25;

    /** Time reserved for round trips and processing. */
    private static final Duration RESERVE = Duration.ofMillis(100);

    /**
     * The minimum time for which a read is held. Without it, a store in which nothing changes would be read without a
     * pause.
     */
    private static final Duration MIN_HOLD = Duration.ofMillis(100);

    private DrainTimeBudget() {}

    /**
     * Returns how entries poll the entries of endpoints. In the worst case an endpoint starts draining at the beginning
     * of a pause, during which the store becomes unresponsive; the timeouts of the store, of a peer that is gone, and
     * the response of the next peer then add up. The store holds a read for the rest of the bound, so that any bound of
     * 1.8 s or more is kept.
     *
     * @param bound the time after which a draining endpoint must get no new requests
     * @return the poll timing
     */
    public static StoreFollower.PollTiming pollTiming(Duration bound) {
        Objects.requireNonNull(bound, "bound is null");
        Duration pause = Duration.ofMillis(Math.round(bound.toMillis() * PAUSE_FRACTION));
        Duration hold = bound.minus(pause)
                .minus(STORE_RESPONSE_TIMEOUT)
                .minus(PEER_RESPONSE_TIMEOUT)
                .minus(RESERVE);
        return new StoreFollower.PollTiming(hold.compareTo(MIN_HOLD) < 0 ? MIN_HOLD : hold, pause);
    }
}
