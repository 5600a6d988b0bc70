package org.micabarrow.serving;

import java.util.function.LongSupplier;

/**
 * How long the next part of an answer has been due from its endpoint. Nothing is due while the client has not taken what came, since the
 * endpoint is not read from then. Used by one thread.
 */
final class AwaitedPart {

    private final LongSupplier nowMillis;
    private boolean due = true;
    private long sinceMillis;

    /** A first part that is due from now on. */
    AwaitedPart(LongSupplier nowMillis) {
        this.nowMillis = nowMillis;
        this.sinceMillis = nowMillis.getAsLong();
    }

    /** How long the part has been due, in milliseconds; 0 if none is. */
    long dueMillis() {
        return due ? nowMillis.getAsLong() - sinceMillis : 0;
    }

    /** A part came; {@code more} reads on, from which moment the next one is due. */
    Runnable came(Runnable more) {
        due = false;
        return () -> {
            due = true;
            sinceMillis = nowMillis.getAsLong();
            more.run();
        };
    }
}
