package org.micabarrow.limits;

/**
 * The number of entries, as reported by agents. An agent that has just started or is cut off receives queries from
 * fewer entries, so the highest recent report counts. Not thread-safe: confined to one thread.
 */
public final class EntryCount {

    /** Count that is assumed before the first report: more entries than send to one endpoint. */
    static final int DEFAULT_COUNT = 64;

    /**
     * Time for which a report takes precedence over lower ones, in milliseconds: an agent that starts has been queried
     * by all entries by then.
     */
    private static final long REPORT_EXPIRY_MILLIS = 3_000;

    private int highest = DEFAULT_COUNT;
    private long highestAtMillis = Long.MIN_VALUE / 2;

    /** Creates a count without reports. */
    public EntryCount() {}

    /**
     * Records a report of an agent.
     *
     * @param entries the number of entries that query it
     * @param nowMillis the time on the monotonic clock
     */
    public void reported(int entries, long nowMillis) {
        if (entries >= highest || nowMillis - highestAtMillis > REPORT_EXPIRY_MILLIS) {
            highest = entries;
            highestAtMillis = nowMillis;
        }
    }

    /**
     * Returns the number of entries.
     *
     * @return the highest recent report, or else the last one
     */
    public int count() {
        return highest;
    }
}
