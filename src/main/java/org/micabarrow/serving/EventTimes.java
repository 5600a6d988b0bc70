package org.micabarrow.serving;

/**
 * Records when the events of one response were forwarded to the client, for the log and to decide whether a stream can
 * be resumed.
 */
final class EventTimes {

    private boolean hasEvents;
    private int forwarded;
    private long firstMillis = -1;
    private long lastMillis;
    private long longestPauseMillis;

    /** Records that events were forwarded, the given time after the request arrived. */
    void recordForwarded(long sinceRequestMillis) {
        if (hasEvents) {
            longestPauseMillis = Math.max(longestPauseMillis, sinceRequestMillis - lastMillis);
        } else {
            hasEvents = true;
            firstMillis = sinceRequestMillis;
        }
        lastMillis = sinceRequestMillis;
        forwarded++;
    }

    /** Whether any event has been forwarded, so that another endpoint would have to resume after the last one. */
    boolean hasEvents() {
        return hasEvents;
    }

    /** How often events were forwarded, one or more at a time. */
    int forwarded() {
        return forwarded;
    }

    /** When the first event was forwarded, in milliseconds after the request arrived; -1 if none was. */
    long firstMillis() {
        return firstMillis;
    }

    /** The longest time between two consecutive events, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
