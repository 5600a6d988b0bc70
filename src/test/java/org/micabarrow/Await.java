package org.micabarrow;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition that other threads bring about. How long it takes decides nothing but a hang. */
public final class Await {

    private static final Duration LONGEST = Duration.ofSeconds(40);

    private Await() {}

    public static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + LONGEST.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never came: " + what);
            }
            Thread.onSpinWait();
            LockSupport.parkNanos(5_000_000);
        }
    }
}
