package org.micabarrow.memory;

/**
 * Decides how to go on with an answer that its client takes more slowly than it comes. Endpoints cut off answers that stay unread
 * for some seconds, so an answer is read on into memory while the client catches up; a client that does not is cut, so that its
 * endpoint's slot and the memory serve others.
 */
public final class UnreadBound {

    /** How much of an answer is held for a client, in bytes: as much as is held of one that is sent whole. */
    public static final long MAX_UNREAD_BYTES = 256 * 1024;

    /** How long reading from the endpoint may pause, in milliseconds: less than the seconds after which endpoints cut off. */
    public static final long MAX_PAUSE_MILLIS = 2_000;

    private UnreadBound() {}

    /** What follows for an answer. */
    public enum Step {

        /** More is read from the endpoint. */
        READ_ON,

        /** Nothing is read until the client has taken some. */
        PAUSE,

        /** The answer is ended, visibly incomplete. */
        CUT
    }

    /**
     * Decides what follows.
     *
     * @param unreadBytes what the client has not taken
     * @param pausedMillis for how long nothing was read from the endpoint
     * @return the next step
     */
    public static Step next(long unreadBytes, long pausedMillis) {
        if (unreadBytes <= MAX_UNREAD_BYTES) {
            return Step.READ_ON;
        }
        return pausedMillis < MAX_PAUSE_MILLIS ? Step.PAUSE : Step.CUT;
    }
}
