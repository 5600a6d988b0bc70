package org.micabarrow.routing;

/**
 * The rest that an endpoint has asked this process for, and how it is sent to again afterwards: one request first, and twice as many
 * with each answer, since all that waits would otherwise reach it in the same instant. Used by one thread.
 */
public final class Backoff {

    /** With how many requests at once an endpoint counts as sent to as before. */
    private static final int AS_BEFORE = 32;

    /** Stands for any number of requests. */
    private static final int ANY = 0;

    private long untilMillis = Long.MIN_VALUE;
    private int most = ANY;

    /**
     * The endpoint asks for rest.
     *
     * @param millis for how long, in milliseconds; a shorter time than is left changes nothing
     * @param nowMillis the time on the steady clock
     */
    public void asked(long millis, long nowMillis) {
        untilMillis = Math.max(untilMillis, nowMillis + millis);
        most = 1;
    }

    /**
     * Whether the endpoint wants nothing now.
     *
     * @param nowMillis the time on the steady clock
     * @return true until the rest is over
     */
    public boolean lasts(long nowMillis) {
        return nowMillis < untilMillis;
    }

    /**
     * How long the rest lasts.
     *
     * @param nowMillis the time on the steady clock
     * @return milliseconds from now; not above 0 if it is over
     */
    public long leftMillis(long nowMillis) {
        return lasts(nowMillis) ? untilMillis - nowMillis : 0;
    }

    /**
     * Whether one more request may be sent.
     *
     * @param requests how many of this process are there
     * @param nowMillis the time on the steady clock
     * @return false while the rest lasts, and after it while as many are there as may be
     */
    public boolean allows(int requests, long nowMillis) {
        return !lasts(nowMillis) && (most == ANY || requests < most);
    }

    /**
     * The endpoint answered a request.
     *
     * @param nowMillis the time on the steady clock
     */
    public void answered(long nowMillis) {
        if (most != ANY && !lasts(nowMillis)) {
            most = most >= AS_BEFORE ? ANY : 2 * most;
        }
    }
}
