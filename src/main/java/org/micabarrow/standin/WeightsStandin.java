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

/** Weights made from seeds: each chunk can be made again at any time, so that none need be kept. */
public final class WeightsStandin {

    private final Map<String, Made> made = new ConcurrentHashMap<>();

    /**
     * Weights to be made.
     *
     * @param name a name for people
     * @param bytes the size
     * @param chunkBytes the size of a chunk
     * @param seed decides the content
     */
    public record Wish(String name, long bytes, int chunkBytes, long seed) {}

    /**
     * Weights that have been made.
     *
     * @param version the digest of the manifest
     * @param fingerprint what an engine that loaded exactly these weights puts into its answers
     */
    public record Done(String version, String fingerprint) {}

    /** A manifest with the seed of its content. */
    private record Made(Manifest manifest, Wish wish) {}

    /**
     * Makes weights.
     *
     * @param wish what to make
     * @return their version and fingerprint
     */
    public Done make(Wish wish) {
        List<String> digests = new ArrayList<>();
        int count = (int) ((wish.bytes() + wish.chunkBytes() - 1) / wish.chunkBytes());
        for (int i = 0; i < count; i++) {
            digests.add(Digest.of(content(wish, i)));
        }
        Manifest manifest = new Manifest(wish.name(), wish.bytes(), wish.chunkBytes(), digests);
        made.put(manifest.version(), new Made(manifest, wish));
        return new Done(manifest.version(), fingerprint(digests));
    }

    /**
     * What an engine that loaded these chunks puts into its answers.
     *
     * @param digests the digests of the chunks in order
     * @return a short digest over them
     */
    static String fingerprint(List<String> digests) {
        return Digest.of(String.join("\n", digests)).substring(0, 16);
    }

    private static byte[] content(Wish wish, int index) {
        long left = wish.bytes() - (long) index * wish.chunkBytes();
        byte[] content = new byte[(int) Math.min(wish.chunkBytes(), left)];
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(wish.seed() * 1_000_003 + index);
        random.nextBytes(content);
        return content;
    }

    /**
     * A manifest.
     *
     * @param version its digest
     * @return the manifest, if there is one
     */
    public Optional<Manifest> manifest(String version) {
        return Optional.ofNullable(made.get(version)).map(Made::manifest);
    }

    /**
     * A chunk.
     *
     * @param version the manifest's digest
     * @param index the chunk's place
     * @return its bytes, if there is such a chunk
     */
    public Optional<byte[]> chunk(String version, int index) {
        return Optional.ofNullable(made.get(version))
                .filter(one -> index >= 0 && index < one.manifest().chunks().size())
                .map(one -> content(one.wish(), index));
    }
}
