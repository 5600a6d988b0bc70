package org.micabarrow.clock;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time for which the instance was suspended, where the runtime can read such a
 * clock. {@link System#nanoTime} does not advance during a suspension, so that all information of a process would
 * appear younger by its duration afterwards.
 */
public final class MonotonicClock {

    private static final Optional<LongSupplier> BOOT_CLOCK = BootClock.nanos();

    private static final LongSupplier NANOS = BOOT_CLOCK.orElse(System::nanoTime);

    private MonotonicClock() {}

    /**
     * The current time.
     *
     * @return milliseconds since some moment before the process started
     */
    public static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(NANOS.getAsLong());
    }

    /**
     * Whether the clock includes the time for which the instance was suspended.
     *
     * @return false on a runtime that cannot read such a clock
     */
    public static boolean includesSuspendedTime() {
        return BOOT_CLOCK.isPresent();
    }
}
