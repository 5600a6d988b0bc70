package org.micabarrow.clock;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A clock that never steps and that counts the time for which the instance was suspended, where the runtime can read such a clock.
 * {@link System#nanoTime} stands still meanwhile, so that all that a process knows would seem younger by as much when it goes on.
 */
public final class MonotonicClock {

    private static final Optional<LongSupplier> BOOT = BootClock.nanos();

    private static final LongSupplier NANOS = BOOT.orElse(System::nanoTime);

    private MonotonicClock() {}

    /**
     * The time now.
     *
     * @return milliseconds since some moment before the process began
     */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(NANOS.getAsLong());
    }

    /**
     * Whether the time of suspensions is counted.
     *
     * @return false on a runtime that cannot read such a clock
     */
    public static boolean countsSuspensions() {
        return BOOT.isPresent();
    }
}
