package org.micabarrow.serving;

/** The planned stop of an entry: until when requests are taken. It begins on any thread. */
final class PlannedStop {

    /** Later than any time of the monotonic clock, with room for differences. */
    private static final long NEVER = Long.MAX_VALUE / 2;

    private volatile long refuseFromMillis = NEVER;

    /**
     * Begins the stop.
     *
     * @param refuseFrom the time on the monotonic clock from which no request is taken, in milliseconds
     */
    void begin(long refuseFrom) {
        refuseFromMillis = refuseFrom;
    }

    /** Whether no request is taken any more. A clock decides, since a paused process is late in noticing anything else. */
    boolean refusesAll(long nowMillis) {
        return nowMillis >= refuseFromMillis;
    }
}
