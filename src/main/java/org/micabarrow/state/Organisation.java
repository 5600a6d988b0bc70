package org.micabarrow.state;

import java.util.Objects;

/**
 * An organisation that sends requests.
 *
 * @param name the name of the organisation
 * @param tokenDigest the digest of its bearer token; the token itself is not stored
 * @param weight its weight, relative to other organisations, when requests compete for capacity
 */
public record Organisation(String name, String tokenDigest, int weight) {

    /** Rejects null values. */
    public Organisation {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(tokenDigest, "tokenDigest is null");
    }
}
