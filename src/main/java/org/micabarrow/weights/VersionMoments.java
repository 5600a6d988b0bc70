package org.micabarrow.weights;

/**
 * The moments at which an older weight version ends, derived from the bound after which it may answer no more. All are
 * in milliseconds after the newer version was named. Agents and entries use the same ones, so that each step follows
 * the one on which it relies: entries query agents, the cordon closes, the endpoint stops, entries require the newer
 * version, the last complete version is ordered, entries cancel what has not begun.
 *
 * <p>What the moments guard against (a pause, a request on a slow link, a late naming) does not grow with the bound, so
 * their distance to it is fixed. It is limited to a fraction of the bound, so that a short bound leaves time to serve.
 *
 * @param boundMillis how long an older version may be served after a newer one was named
 */
public record VersionMoments(long boundMillis) {

    // -- what is guarded against

    /** How much later than the store acknowledges a naming a process may learn of it, in milliseconds. */
    static final long LEARNING_MILLIS = 250;

    /**
     * The pause of an instance that an agent's stop bears without help of the entries, in milliseconds. During a longer
     * one the entries cancel what waits there.
     */
    static final long PAUSE_MILLIS = 500;

    /** How long a request, or the notification of a cordon, is on its way through a busy link, in milliseconds. */
    static final long TRANSIT_MILLIS = 250;

    /**
     * How long an order takes, in milliseconds: the controller may spend 250 ms on chunks first, as an endpoint that
     * stages slowly does not delay it for longer.
     */
    static final long ORDER_MILLIS = 280;

    // -- the distance of each moment to the bound

    /** The distance of the stop in milliseconds: all of the above may coincide. */
    private static final long STOP_ALLOWANCE_MILLIS = LEARNING_MILLIS + PAUSE_MILLIS + TRANSIT_MILLIS + ORDER_MILLIS;

    /**
     * The distance of the moment from which entries require the newer version, in milliseconds: after the last cordon
     * has closed, and as long as a pause, a request's way and a late naming take together.
     */
    private static final long REQUIRE_ALLOWANCE_MILLIS = 960;

    /**
     * The distance of the last order of a complete version, in milliseconds: the endpoint starts no request from the
     * cordon before the order on, so a late naming and the order itself remain, and reading corrupted chunks back.
     */
    private static final long LAST_ORDER_ALLOWANCE_MILLIS = 560;

    /** The distance of the cancelling, in milliseconds: an entry that learned late, and the reset's way. */
    private static final long CANCEL_ALLOWANCE_MILLIS = 240;

    /**
     * The distance of the moment from which agents are queried before a request is sent to an older version, in
     * milliseconds. An instance that is paused from before then must be so for longer than that to begin a request too
     * late. Queries cost a request their round trip, and a busy link more, so they are not made from the naming on.
     */
    private static final long QUERY_ALLOWANCE_MILLIS = 4_400;

    /**
     * When the first order is given at the earliest, in milliseconds after the naming: until then chunks are still being
     * fetched, whatever the bound is.
     */
    private static final long FIRST_ORDER_MILLIS = 3_600;

    // -- the limits for short bounds, as fractions of the bound

    private static final double MAX_STOP_FRACTION = 0.16;
    private static final double MAX_REQUIRE_FRACTION = 0.12;
    private static final double MAX_LAST_ORDER_FRACTION = 0.07;
    private static final double MAX_CANCEL_FRACTION = 0.03;
    private static final double MAX_QUERY_FRACTION = 0.55;
    private static final double MAX_FIRST_ORDER_FRACTION = 0.45;

    /** Checks the bound. */
    public VersionMoments {
        if (boundMillis <= 0) {
            throw new IllegalArgumentException("boundMillis is " + boundMillis + ", must be positive");
        }
    }

    private long limited(long millis, double maxFraction) {
        return Math.min(millis, Math.round(boundMillis * maxFraction));
    }

    private long before(long allowanceMillis, double maxFraction) {
        return boundMillis - limited(allowanceMillis, maxFraction);
    }

    // -- agents

    /** When the first agent of a region may order a complete version. */
    long firstOrderMillis() {
        return limited(FIRST_ORDER_MILLIS, MAX_FIRST_ORDER_FRACTION);
    }

    /** When the last agent of a region orders a complete version. */
    long lastOrderMillis() {
        return before(LAST_ORDER_ALLOWANCE_MILLIS, MAX_LAST_ORDER_FRACTION);
    }

    /** When an endpoint stops if no newer version is complete beside it. */
    long stopMillis() {
        return before(STOP_ALLOWANCE_MILLIS, MAX_STOP_FRACTION);
    }

    /** When such an endpoint gets no new requests any more. */
    long cordonMillis() {
        return stopMillis() - Cordon.LEAD_MILLIS;
    }

    /** How long before the bound an endpoint stops. */
    long stopAllowanceMillis() {
        return boundMillis - stopMillis();
    }

    // -- entries

    /**
     * When entries begin to query an endpoint's agent before they send a request to an older version.
     *
     * @return the milliseconds after the naming
     */
    public long queryMillis() {
        return before(QUERY_ALLOWANCE_MILLIS, MAX_QUERY_FRACTION);
    }

    /**
     * When entries begin to require the newer version.
     *
     * @return the milliseconds after the naming
     */
    public long requireMillis() {
        return before(REQUIRE_ALLOWANCE_MILLIS, MAX_REQUIRE_FRACTION);
    }

    /**
     * When entries cancel requests that an older version has not begun.
     *
     * @return the milliseconds after the naming
     */
    public long cancelMillis() {
        return before(CANCEL_ALLOWANCE_MILLIS, MAX_CANCEL_FRACTION);
    }
}
