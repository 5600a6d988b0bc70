package org.micabarrow.serving;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * How up to date this entry's knowledge of operator changes is, which decides whether it may reject a request as
 * invalid.
 *
 * <p>A key or path that the active manifest lacks may be in a newer one that this entry has not received yet, and a
 * newer one may allow larger bodies. The entry therefore responds with 401, 404 or 413 only while it can prove that it
 * knows every manifest that must be active by now. Otherwise it responds that the request was not run and may be
 * retried, so that an unresponsive store does not turn valid clients away for good. Requests that the manifest allows
 * are served whatever its age, since the store may be unreachable for a long time.
 *
 * <p>Invalid clients, too, are then told to retry, until the store or a peer that has reached it replies, or, if a
 * manifest is missing that no process has any more, until operators write the next one. This is no endless loop: the
 * entry responds immediately and holds, repeats and forwards nothing; the client is told when to retry, may reach an
 * entry that is up to date, and stops at its own deadline. A wrong rejection would be worse, because a client that
 * receives one does not retry.
 *
 * @param asOfMillis the time on the monotonic clock up to which all operator changes are known; empty if there is none
 * @param maxAgeMillis how long after a manifest was set it must be active
 */
public record ManifestAge(Supplier<OptionalLong> asOfMillis, long maxAgeMillis) {

    /** The age that is logged if no time is known. */
    private static final long UNKNOWN_AGE = -1;

    /** Checks that no component is null. */
    public ManifestAge {
        Objects.requireNonNull(asOfMillis, "asOfMillis is null");
    }

    /** Whether knowing all changes up to the given time proves that every manifest that must be active is known. */
    boolean provesCurrent(OptionalLong asOf, long nowMillis) {
        return asOf.isPresent() && nowMillis - asOf.getAsLong() <= maxAgeMillis;
    }

    /** The age for the log, in milliseconds; -1 if no time is known. */
    long loggedMillis(long nowMillis) {
        OptionalLong asOf = asOfMillis.get();
        return asOf.isPresent() ? nowMillis - asOf.getAsLong() : UNKNOWN_AGE;
    }
}
