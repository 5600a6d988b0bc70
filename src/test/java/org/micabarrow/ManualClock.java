package org.micabarrow;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that moves only when told. */
public final class ManualClock implements InstantSource {

    private volatile long millis = 1_000_000;

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis);
    }

    /** Moves the clock by so many milliseconds. */
    public void advance(long by) {
        millis += by;
    }
}
