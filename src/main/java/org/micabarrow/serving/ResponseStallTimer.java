package org.micabarrow.serving;

import java.util.function.LongSupplier;

/**
 * Measures how long an endpoint has owed the next part of a response. The time during which the client has not consumed
 * the previous part does not count, because the endpoint is not read meanwhile. Used by one thread.
 */
final class ResponseStallTimer {

    private final LongSupplier nowMillis;
    private boolean waiting = true;
    private long waitingSinceMillis;

    /** Starts to wait for the first part. */
    ResponseStallTimer(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        this.waitingSinceMillis = nowMillis.getAsLong();
    }

    /** How long the next part has been awaited, in milliseconds; 0 if none is. */
    long waitingMillis() {
        return waiting ? nowMillis.getAsLong() - waitingSinceMillis : 0;
    }

    /**
     * Records that a part has arrived. The returned action runs {@code more}, which reads on, and starts to wait for
     * the next part.
     */
    Runnable onReceived(Runnable more) {
        waiting = false;
        return () -> {
            waiting = true;
            waitingSinceMillis = nowMillis.getAsLong();
            more.run();
        };
    }
}
