package org.micabarrow.coordination.claims;

import java.util.Objects;
import java.util.Optional;

/**
 * The right of one agent process to run one request that must not be repeated. The first claim for a key in log order
 * holds the key.
 *
 * @param key the digest of the organisation and the caller's idempotency key
 * @param bodyDigest the digest of the call and its body; the same key with another digest is refused
 * @param instance the instance that may run it
 * @param epoch the process on that instance that may run it
 * @param latestStartMillis the latest time at which it may start, in milliseconds since 1970
 * @param attempt the id of the attempt for which the claim was written
 * @param after the id of the attempt that held the key before and was refused permanently, if there was one
 */
public record Claim(
        String key,
        String bodyDigest,
        String instance,
        String epoch,
        long latestStartMillis,
        String attempt,
        Optional<String> after) {

    /** Validates the components. */
    public Claim {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(bodyDigest, "bodyDigest is null");
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(epoch, "epoch is null");
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(after, "after is null");
    }
}
