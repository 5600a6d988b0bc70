package org.micabarrow.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Manifest;

/** Generates weights from seeds. Chunks are regenerated on each read, so their content is not stored. */
public final class WeightsStandin {

    private final Map<String, StoredWeights> storedByVersion = new ConcurrentHashMap<>();

    /**
     * Parameters of weights to generate.
     *
     * @param name a descriptive name
     * @param bytes the total size
     * @param chunkBytes the size of a chunk
     * @param seed the seed of the content
     */
    public record WeightsSpec(String name, long bytes, int chunkBytes, long seed) {}

    /**
     * Identity of generated weights.
     *
     * @param version the digest of the manifest
     * @param fingerprint the fingerprint in answers of an engine that loaded exactly these weights
     */
    public record GeneratedWeights(String version, String fingerprint) {}

    /** A manifest and the parameters that generate its content. */
    private record StoredWeights(Manifest manifest, WeightsSpec spec) {}

    /**
     * Generates weights.
     *
     * @param spec the parameters
     * @return their version and fingerprint
     */
    public GeneratedWeights generate(WeightsSpec spec) {
        List<String> digests = new ArrayList<>();
        int count = (int) ((spec.bytes() + spec.chunkBytes() - 1) / spec.chunkBytes());
        for (int i = 0; i < count; i++) {
            digests.add(Digest.of(content(spec, i)));
        }
        Manifest manifest = new Manifest(spec.name(), spec.bytes(), spec.chunkBytes(), digests);
        storedByVersion.put(manifest.version(), new StoredWeights(manifest, spec));
        return new GeneratedWeights(manifest.version(), fingerprint(digests));
    }

    /**
     * Computes the fingerprint in answers of an engine that loaded these chunks.
     *
     * @param digests the digests of the chunks in order
     * @return a short digest over them
     */
    static String fingerprint(List<String> digests) {
        return Digest.of(String.join("\n", digests)).substring(0, 16);
    }

    private static byte[] content(WeightsSpec spec, int index) {
        long remainingBytes = spec.bytes() - (long) index * spec.chunkBytes();
        byte[] content = new byte[(int) Math.min(spec.chunkBytes(), remainingBytes)];
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(spec.seed() * 1_000_003 + index);
        random.nextBytes(content);
        return content;
    }

    /**
     * Returns the manifest of a version.
     *
     * @param version the digest of the manifest
     * @return the manifest, if there is one
     */
    public Optional<Manifest> manifest(String version) {
        return Optional.ofNullable(storedByVersion.get(version)).map(StoredWeights::manifest);
    }

    /**
     * Returns a chunk of a version.
     *
     * @param version the manifest's digest
     * @param index the index of the chunk
     * @return its bytes, if there is such a chunk
     */
    public Optional<byte[]> chunk(String version, int index) {
        return Optional.ofNullable(storedByVersion.get(version))
                .filter(one -> index >= 0 && index < one.manifest().chunks().size())
                .map(one -> content(one.spec(), index));
    }
}
