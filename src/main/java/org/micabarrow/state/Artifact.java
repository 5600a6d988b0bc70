package org.micabarrow.state;

import java.util.Objects;

/**
 * The weights of a model or of an adapter, with the figures that the planner needs.
 *
 * @param digest the digest of its manifest
 * @param bytes the size of the weights in bytes
 * @param chunks the number of chunks
 */
public record Artifact(String digest, long bytes, int chunks) {

    /** Rejects a null digest. */
    public Artifact {
        Objects.requireNonNull(digest, "digest is null");
    }
}
