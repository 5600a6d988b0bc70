package org.micabarrow.coordination;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that moves only when told. */
final class ManualClock implements InstantSource {

    private volatile long millis = 1_000_000;

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis);
    }

    void advance(long by) {
        millis += by;
    }
}
