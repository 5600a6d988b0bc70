package org.micabarrow.state;

import java.util.List;
import java.util.Objects;

/**
 * The list of a version's chunks. The digest of this list is the version.
 *
 * <pre>{@code
 * String version = manifest.version();
 * boolean whole = manifest.matches(3, chunk);
 * }</pre>
 *
 * @param name the model or adapter, for people
 * @param bytes the size of all chunks together
 * @param chunkBytes the size of each chunk but the last
 * @param chunks the digest of each chunk, in order
 */
public record Manifest(String name, long bytes, int chunkBytes, List<String> chunks) {

    /** Copies the list. */
    public Manifest {
        Objects.requireNonNull(name, "name is null");
        chunks = List.copyOf(chunks);
    }

    /**
     * The version that this manifest describes.
     *
     * @return the digest of its canonical form
     */
    public String version() {
        return CanonicalJson.digest(this);
    }

    /**
     * Whether bytes are a chunk of this version.
     *
     * @param index the chunk's place
     * @param data the bytes
     * @return true if their digest is the one listed
     */
    public boolean matches(int index, byte[] data) {
        return index >= 0 && index < chunks.size() && Digest.of(data).equals(chunks.get(index));
    }

    /**
     * What the planner needs of it.
     *
     * @return digest, size and count
     */
    public Artifact artifact() {
        return new Artifact(version(), bytes, chunks.size());
    }
}
