package org.micabarrow.clock;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The clock that counts from the start of the instance, suspensions included. A runtime of version 21 has no way to it; from 22 on the
 * class of the same name under {@code src/main/java22} takes this one's place in the packaged program.
 */
final class BootClock {

    private BootClock() {}

    /** The clock in nanoseconds; empty if it cannot be read. */
    static Optional<LongSupplier> nanos() {
        return Optional.empty();
    }
}
