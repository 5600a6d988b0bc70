package org.micabarrow.clock;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The time since the instance was booted, including suspensions, read through the C library of Linux. */
final class BootClock {

    private static final Logger LOG = LoggerFactory.getLogger(BootClock.class);

    /** {@code CLOCK_BOOTTIME} of Linux. */
    private static final int CLOCK_BOOTTIME = 7;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final MethodHandle clockGettime;

    /** The {@code timespec} of each thread: seconds and nanoseconds. */
    private final ThreadLocal<MemorySegment> timespecs =
            ThreadLocal.withInitial(() -> Arena.ofAuto().allocate(2 * ValueLayout.JAVA_LONG.byteSize()));

    private BootClock(MethodHandle clockGettime) {
        this.clockGettime = clockGettime;
    }

    /** Returns the clock in nanoseconds; empty if it cannot be read. */
    static Optional<LongSupplier> nanos() {
        try {
            Linker linker = Linker.nativeLinker();
            MethodHandle function = linker.downcallHandle(
                    linker.defaultLookup().find("clock_gettime").orElseThrow(),
                    FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS),
                    Linker.Option.critical(false));
            BootClock clock = new BootClock(function);
            clock.read();
            return Optional.of(clock::read);
        } catch (RuntimeException | LinkageError e) {
            LOG.warn("event=no_boot_clock why=\"{}\"", e.toString());
            return Optional.empty();
        }
    }

    private long read() {
        MemorySegment timespec = timespecs.get();
        if (call(timespec) != 0) {
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) failed");
        }
        return timespec.get(ValueLayout.JAVA_LONG, 0) * NANOS_PER_SECOND
                + timespec.get(ValueLayout.JAVA_LONG, ValueLayout.JAVA_LONG.byteSize());
    }

    private int call(MemorySegment timespec) {
        try {
            return (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
        } catch (Throwable e) {
            // MethodHandle declares Throwable; a function of the C library throws nothing.
            throw new IllegalStateException("clock_gettime", e);
        }
    }
}
