package org.micabarrow.serving;

import java.util.Objects;
import java.util.function.Consumer;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.PortProbe;

/**
 * What a handler works with to recognise requests that end endpoints.
 *
 * @param book what is known of crashes
 * @param probe finds out whether an endpoint has ended
 * @param sharing takes what other processes are to know
 */
public record CrashTracking(CrashRegistry book, PortProbe probe, Consumer<CrashUpdate> sharing) {

    /** Checks that nothing is missing. */
    public CrashTracking {
        Objects.requireNonNull(book, "book is null");
        Objects.requireNonNull(probe, "probe is null");
        Objects.requireNonNull(sharing, "sharing is null");
    }

    /**
     * Parts for a handler that notices no crash.
     *
     * @return the parts
     */
    public static CrashTracking unnoticed() {
        return new CrashTracking(new CrashRegistry(1, 1, () -> 1), (endpoint, then) -> {}, news -> {});
    }
}
