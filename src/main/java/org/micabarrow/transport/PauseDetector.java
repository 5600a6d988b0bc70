package org.micabarrow.transport;

/**
 * Detects rounds that begin late because this process was paused. Replies that arrived during the pause have not been
 * read yet, so all their senders would seem unresponsive.
 */
final class PauseDetector {

    /**
     * How many intervals may pass between two rounds that are on time: one, and as much again for a shared processor.
     */
    private static final int MAX_INTERVALS = 2;

    private final long intervalMillis;
    private long previousMillis;
    private boolean started;

    PauseDetector(long intervalMillis) {
        this.intervalMillis = intervalMillis;
    }

    /** Whether the round that begins now is the first, or follows the previous one on time. */
    boolean onTime(long nowMillis) {
        boolean onTime = !started || nowMillis - previousMillis <= MAX_INTERVALS * intervalMillis;
        started = true;
        previousMillis = nowMillis;
        return onTime;
    }
}
