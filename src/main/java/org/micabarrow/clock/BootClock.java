package org.micabarrow.clock;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The time since the instance was booted, including suspensions. Java 21 cannot read this clock; on Java 22 and later,
 * the class of the same name in {@code src/main/java22} replaces this one in the multi-release jar.
 */
final class BootClock {

    private BootClock() {}

    /** Returns the clock in nanoseconds; empty if it cannot be read. */
    static Optional<LongSupplier> nanos() {
        return Optional.empty();
    }
}
