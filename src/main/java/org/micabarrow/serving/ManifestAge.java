package org.micabarrow.serving;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * How long ago all that operators wrote was known.
 *
 * @param asOfMillis the moment on the steady clock up to which it is known; empty if there is none
 * @param mostMillis how long after a manifest was set it must be in force
 */
public record ManifestAge(Supplier<OptionalLong> asOfMillis, long mostMillis) {

    /** The age in lines of the log where no moment is known. */
    private static final long NEVER = -1;

    /** Checks that nothing is missing. */
    public ManifestAge {
        Objects.requireNonNull(asOfMillis, "asOfMillis is null");
    }

    /** The age for the log, in milliseconds; -1 if no moment is known. */
    long shownMillis(long nowMillis) {
        OptionalLong asOf = asOfMillis.get();
        return asOf.isPresent() ? nowMillis - asOf.getAsLong() : NEVER;
    }
}
