package org.micabarrow.serving;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;

/**
 * How long ago all that operators wrote was known, by which an entry may call a request wrong or not.
 *
 * <p>A key or a path that the manifest in force does not have may be in a newer one, which this entry has not heard of, or that
 * may allow larger bodies. So it says 401, 404 and 413 only while it can prove that it knows every manifest that must be in force by now, and else that the request was
 * not run and may come again: a store that is silent or far away for a while must not turn proper clients away for good. What
 * the manifest allows is served whatever its age, since the store may be away for long.
 *
 * <p>Callers that are really wrong pay for it: they, too, are told to come again, for as long as neither the store nor a peer
 * that knows of it answers this entry, or a manifest is lacking that nobody has any more, until operators write the next. That is
 * no endless loop: the entry answers at once, holds and repeats nothing, and passes nothing on; the caller is told when to come
 * again, may meet an entry that knows, and ends at its own deadline. To say wrong wrongly is worse, as a client that believes it
 * does not come back.
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

    /** Whether a moment up to which all is known proves that every manifest is known that must be in force. */
    boolean provesAllInForce(OptionalLong asOf, long nowMillis) {
        return asOf.isPresent() && nowMillis - asOf.getAsLong() <= mostMillis;
    }

    /** The age for the log, in milliseconds; -1 if no moment is known. */
    long shownMillis(long nowMillis) {
        OptionalLong asOf = asOfMillis.get();
        return asOf.isPresent() ? nowMillis - asOf.getAsLong() : NEVER;
    }
}
