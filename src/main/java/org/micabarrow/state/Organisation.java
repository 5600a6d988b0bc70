package org.micabarrow.state;

import java.util.Objects;

/**
 * An organisation that sends requests.
 *
 * @param name its name
 * @param tokenDigest the digest of its bearer token; the token itself is kept nowhere
 * @param weight its share under contention, relative to the others
 */
public record Organisation(String name, String tokenDigest, int weight) {

    /** Checks the parts. */
    public Organisation {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(tokenDigest, "tokenDigest is null");
    }
}
