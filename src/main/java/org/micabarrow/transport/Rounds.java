package org.micabarrow.transport;

/**
 * Tells whether rounds come when they should. After this process stood still, what others answered meanwhile has not been
 * read yet, so that all of them would seem to have fallen silent.
 */
final class Rounds {

    /** How many pauses may lie between two rounds on time: one, and as much again for a processor that is shared. */
    private static final int MOST_PAUSES = 2;

    private final long pauseMillis;
    private long lastMillis;
    private boolean begun;

    Rounds(long pauseMillis) {
        this.pauseMillis = pauseMillis;
    }

    /** Whether the round that begins now is the first, or follows the one before on time. */
    boolean onTime(long nowMillis) {
        boolean onTime = !begun || nowMillis - lastMillis <= MOST_PAUSES * pauseMillis;
        begun = true;
        lastMillis = nowMillis;
        return onTime;
    }
}
