package org.micabarrow.serving;

import java.util.Objects;
import java.util.function.Consumer;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.PortProbe;

/**
 * What a handler uses to detect requests that crash endpoints.
 *
 * @param registry the crashes known so far
 * @param probe checks whether an endpoint has crashed
 * @param publisher receives updates for other processes
 */
public record CrashTracking(CrashRegistry registry, PortProbe probe, Consumer<CrashUpdate> publisher) {

    /** Checks that no component is null. */
    public CrashTracking {
        Objects.requireNonNull(registry, "registry is null");
        Objects.requireNonNull(probe, "probe is null");
        Objects.requireNonNull(publisher, "publisher is null");
    }

    /**
     * Creates an instance that detects no crashes.
     *
     * @return the instance
     */
    public static CrashTracking disabled() {
        return new CrashTracking(new CrashRegistry(1, 1, () -> 1), (endpoint, callback) -> {}, update -> {});
    }
}
