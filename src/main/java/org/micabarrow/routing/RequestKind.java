package org.micabarrow.routing;

/** What may be done again with a request of a route. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run once. */
    AT_MOST_ONCE,
    /** A stream of events that may go on at another endpoint after the last event received. */
    RESUMABLE_STREAM,
    /** A stream of events that may run once. */
    STREAM;

    /**
     * Whether a request may be sent again although it may have run.
     *
     * @return true if running twice does no harm
     */
    public boolean repeatable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }

    /**
     * Whether the answer is a series of events.
     *
     * @return true for streams
     */
    public boolean stream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }
}
