package org.micabarrow.state;

import java.util.Objects;

/**
 * A set of weights as the planner needs it: a model's or an adapter's.
 *
 * @param digest the digest of its manifest
 * @param bytes its size
 * @param chunks the number of its chunks
 */
public record Artifact(String digest, long bytes, int chunks) {

    /** Checks the parts. */
    public Artifact {
        Objects.requireNonNull(digest, "digest is null");
    }
}
