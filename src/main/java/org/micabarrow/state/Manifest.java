package org.micabarrow.state;

import java.util.List;
import java.util.Objects;

/**
 * The list of the chunks of a version of weights. The digest of the manifest is the version.
 *
 * <pre>{@code
 * String version = manifest.version();
 * boolean intact = manifest.matches(3, chunk);
 * }</pre>
 *
 * @param name the name of the model or adapter, for people
 * @param bytes the total size of all chunks
 * @param chunkBytes the size of each chunk except the last
 * @param chunks the digest of each chunk, in order
 */
public record Manifest(String name, long bytes, int chunkBytes, List<String> chunks) {

    /** Rejects null values and copies the list defensively. */
    public Manifest {
        Objects.requireNonNull(name, "name is null");
        chunks = List.copyOf(chunks);
    }

    /**
     * Returns the version that this manifest describes.
     *
     * @return the digest of the manifest's canonical form
     */
    public String version() {
        return CanonicalJson.digest(this);
    }

    /**
     * Verifies a chunk.
     *
     * @param index the index of the chunk
     * @param data the content of the chunk
     * @return true if the index exists and the digest of the content is the one listed
     */
    public boolean matches(int index, byte[] data) {
        return index >= 0 && index < chunks.size() && Digest.of(data).equals(chunks.get(index));
    }

    /**
     * Returns the figures that the planner needs.
     *
     * @return the version, the size and the number of chunks
     */
    public Artifact artifact() {
        return new Artifact(version(), bytes, chunks.size());
    }
}
