package org.micabarrow.limits;

/**
 * How many entries there are, by what agents tell. An agent that has just started, or is cut off, hears of fewer, so that the most that any
 * of them told lately counts. Used by one thread.
 */
public final class EntryCount {

    /** What an entry goes by that no agent ever told: more than send to one endpoint. */
    static final int ASSUMED = 64;

    /** How long a number counts against smaller ones, in milliseconds: an agent that starts has heard all entries by then. */
    private static final long COUNTED_MILLIS = 3_000;

    private int most = ASSUMED;
    private long mostAtMillis = Long.MIN_VALUE / 2;

    /** Begins with no number told. */
    public EntryCount() {}

    /**
     * An agent told how many entries ask it.
     *
     * @param entries the number
     * @param nowMillis the time on the steady clock
     */
    public void told(int entries, long nowMillis) {
        if (entries >= most || nowMillis - mostAtMillis > COUNTED_MILLIS) {
            most = entries;
            mostAtMillis = nowMillis;
        }
    }

    /**
     * How many there are.
     *
     * @return the most that was told lately, or else last
     */
    public int count() {
        return most;
    }
}
