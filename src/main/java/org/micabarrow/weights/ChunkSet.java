package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.micabarrow.state.Digest;

/** The chunks of one weight version that an agent has, each verified against its digest. Thread-safe. */
public final class ChunkSet {

    private final String model;
    private final long version;
    private final List<String> digests;
    private final List<CompletableFuture<byte[]>> chunks = new ArrayList<>();
    private final AtomicIntegerArray servedCounts;
    private final AtomicInteger arrivals = new AtomicInteger();

    /** The index at which this agent starts among chunks that it has served equally often. */
    private final int startIndex;

    /**
     * Creates an empty set.
     *
     * @param model the model
     * @param version the weight version
     * @param digests the SHA-256 digest of each chunk, in hexadecimal
     */
    public ChunkSet(String model, long version, List<String> digests) {
        this.model = Objects.requireNonNull(model, "model is null");
        this.version = version;
        this.digests = List.copyOf(digests);
        this.servedCounts = new AtomicIntegerArray(this.digests.size());
        this.startIndex = ThreadLocalRandom.current().nextInt(Math.max(1, this.digests.size()));
        this.digests.forEach(digest -> chunks.add(new CompletableFuture<>()));
    }

    /**
     * The model.
     *
     * @return its name
     */
    public String model() {
        return model;
    }

    /**
     * The weight version.
     *
     * @return its number
     */
    public long version() {
        return version;
    }

    /**
     * The digests of all chunks.
     *
     * @return the digests, in chunk order
     */
    public List<String> digests() {
        return digests;
    }

    // -- chunks

    /**
     * Adds a chunk if its content matches the digest.
     *
     * @param index the chunk's index
     * @param bytes the content
     * @return whether the content matches
     */
    public boolean put(int index, byte[] bytes) {
        if (!matchesDigest(index, bytes)) {
            return false;
        }
        chunks.get(index).complete(bytes);
        arrivals.incrementAndGet();
        return true;
    }

    /**
     * How many chunks have arrived. While the number is the same, no chunk has become present.
     *
     * @return the number, chunks that arrived repeatedly included
     */
    public int arrivals() {
        return arrivals.get();
    }

    /**
     * Whether some content matches the digest of a chunk.
     *
     * @param index the chunk's index
     * @param bytes the content
     * @return whether its digest is that of the chunk
     */
    public boolean matchesDigest(int index, byte[] bytes) {
        // What equals a chunk that matched needs no digest, which takes some hundred times as long.
        return chunk(index).filter(present -> Arrays.equals(present, bytes)).isPresent()
                || digests.get(index).equals(Digest.of(bytes));
    }

    /**
     * A chunk.
     *
     * @param index the chunk's index
     * @return its content, empty if it is not present yet
     */
    public Optional<byte[]> chunk(int index) {
        return Optional.ofNullable(chunks.get(index).getNow(null));
    }

    /**
     * Picks the wanted chunk that was served least often, so that agents that fetch the same version get different
     * chunks and can exchange them. Ties are broken differently by each agent. Otherwise an agent that requested the
     * last missing chunks from many agents got the same chunk from all of them, which filled its link with duplicates.
     *
     * @param wanted the indexes of the acceptable chunks
     * @return the index of the chunk, empty if none of them is present
     */
    public OptionalInt pickLeastServed(BitSet wanted) {
        OptionalInt index = wanted.stream()
                .filter(candidate ->
                        candidate < chunks.size() && chunk(candidate).isPresent())
                .boxed()
                .min(Comparator.<Integer>comparingInt(servedCounts::get).thenComparingInt(this::distanceFromStart))
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
        index.ifPresent(servedCounts::incrementAndGet);
        return index;
    }

    private int distanceFromStart(int index) {
        return Math.floorMod(index - startIndex, chunks.size());
    }

    /** Whether the chunks from {@code first} (inclusive) to {@code end} (exclusive) are present. */
    boolean hasRange(int first, int end) {
        return chunks.subList(first, end).stream().allMatch(CompletableFuture::isDone);
    }

    /**
     * Whether all chunks are present.
     *
     * @return true if none is missing
     */
    public boolean isComplete() {
        return chunks.stream().allMatch(CompletableFuture::isDone);
    }

    /**
     * The number of chunks that are present.
     *
     * @return their number
     */
    public int presentCount() {
        return (int) chunks.stream().filter(CompletableFuture::isDone).count();
    }
}
