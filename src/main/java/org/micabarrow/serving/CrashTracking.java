package org.micabarrow.serving;

import java.util.Objects;
import java.util.function.Consumer;
import org.micabarrow.crashes.CrashBook;
import org.micabarrow.crashes.CrashNews;
import org.micabarrow.crashes.PortProbe;

/**
 * What a handler uses to detect requests that crash endpoints.
 *
 * @param book the crashes known so far
 * @param probe checks whether an endpoint has crashed
 * @param publisher receives updates for other processes
 */
public record CrashTracking(CrashBook book, PortProbe probe, Consumer<CrashNews> publisher) {

    /** Checks that no component is null. */
    public CrashTracking {
        Objects.requireNonNull(book, "book is null");
        Objects.requireNonNull(probe, "probe is null");
        Objects.requireNonNull(publisher, "publisher is null");
    }

    /**
     * Creates an instance that detects no crashes.
     *
     * @return the instance
     */
    public static CrashTracking disabled() {
        return new CrashTracking(new CrashBook(1, 1, () -> 1), (endpoint, callback) -> {}, update -> {});
    }
}
