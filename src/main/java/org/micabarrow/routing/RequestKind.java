package org.micabarrow.routing;

/** How often the requests of a route may run, and whether their responses are streams. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run at most once. */
    AT_MOST_ONCE,
    /** A stream of events that another endpoint may resume after the last event received. */
    RESUMABLE_STREAM,
    /** A stream of events that may run at most once. */
    STREAM;

    /**
     * Returns whether a request may be sent again although it may have run.
     *
     * @return true if running twice is harmless
     */
    public boolean repeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Returns whether the response is a stream of events.
     *
     * @return true for streams
     */
    public boolean stream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }
}
