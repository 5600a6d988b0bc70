package org.micabarrow.coordination.claims;

import java.util.Objects;
import java.util.Optional;

/**
 * The right of one agent's process to run one request that may not be repeated. The first claim of a key in the order
 * of the log holds it.
 *
 * @param key the organisation and the caller's key
 * @param bodyDigest the digest of what is asked for; the same key with another body is refused
 * @param instance the instance that may run it
 * @param epoch the process on that instance that may run it
 * @param latestStartMillis when it may no longer start, in milliseconds since 1970
 * @param attempt the attempt for which the claim was written
 * @param after the attempt that held the key before and was refused for good, if one was
 */
public record Claim(
        String key,
        String bodyDigest,
        String instance,
        String epoch,
        long latestStartMillis,
        String attempt,
        Optional<String> after) {

    /** Checks the parts. */
    public Claim {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(bodyDigest, "bodyDigest is null");
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(epoch, "epoch is null");
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(after, "after is null");
    }
}
