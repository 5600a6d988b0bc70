package org.micabarrow.serving;

/** When the events of one answer went to the client, for the log and for what may follow when the answer breaks off. */
final class EventTimes {

    private boolean any;
    private long firstMillis = -1;
    private long lastMillis;
    private long longestPauseMillis;

    /** Events went to the client, so many milliseconds after the request came. */
    void passed(long sinceRequestMillis) {
        if (any) {
            longestPauseMillis = Math.max(longestPauseMillis, sinceRequestMillis - lastMillis);
        } else {
            any = true;
            firstMillis = sinceRequestMillis;
        }
        lastMillis = sinceRequestMillis;
    }

    /** Whether the client has got events, so that another endpoint must go on after the last of them. */
    boolean any() {
        return any;
    }

    /** When the first went to the client, in milliseconds after the request came; -1 if none has. */
    long firstMillis() {
        return firstMillis;
    }

    /** The longest time between two events that followed one another, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }
}
