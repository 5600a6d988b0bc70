package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.micabarrow.state.Digest;

/**
 * The chunks of one weight version that an agent has, each checked against its digest. Safe for any number of threads.
 */
public final class ChunkSet {

    private final String model;
    private final long version;
    private final List<String> digests;
    private final List<CompletableFuture<byte[]>> chunks = new ArrayList<>();
    private final AtomicIntegerArray given;

    /** Where this agent begins among chunks that it has given equally often. */
    private final int start;

    /**
     * Makes an empty set.
     *
     * @param model the model
     * @param version the weight version
     * @param digests the SHA-256 digest of each chunk, in hexadecimal
     */
    public ChunkSet(String model, long version, List<String> digests) {
        this.model = Objects.requireNonNull(model, "model is null");
        this.version = version;
        this.digests = List.copyOf(digests);
        this.given = new AtomicIntegerArray(this.digests.size());
        this.start = ThreadLocalRandom.current().nextInt(Math.max(1, this.digests.size()));
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
     * @return the digests, in order
     */
    public List<String> digests() {
        return digests;
    }

    // -- chunks

    /**
     * Takes a chunk, if its bytes have the right digest.
     *
     * @param index which chunk
     * @param bytes its bytes
     * @return whether they are right
     */
    public boolean put(int index, byte[] bytes) {
        if (!right(index, bytes)) {
            return false;
        }
        chunks.get(index).complete(bytes);
        return true;
    }

    /**
     * Whether bytes are those of a chunk.
     *
     * @param index which chunk
     * @param bytes the bytes
     * @return whether their digest is the chunk's
     */
    public boolean right(int index, byte[] bytes) {
        return digests.get(index).equals(Digest.of(bytes));
    }

    /**
     * A chunk.
     *
     * @param index which one
     * @return its bytes, empty if it is not here yet
     */
    public Optional<byte[]> chunk(int index) {
        return Optional.ofNullable(chunks.get(index).getNow(null));
    }

    /**
     * Takes, of some chunks, the one that was given away least often, so that askers get different ones and can exchange
     * them. Of several, agents take different ones: whoever asks many agents for the same chunks got each of the last ones
     * from all of them, which filled its link with what it had.
     *
     * @param wanted which chunks would do
     * @return the chunk's index, empty if none of them is here
     */
    public OptionalInt give(BitSet wanted) {
        OptionalInt index = wanted.stream()
                .filter(one -> one < chunks.size() && chunk(one).isPresent())
                .boxed()
                .min(Comparator.<Integer>comparingInt(given::get).thenComparingInt(this::fromStart))
                .map(OptionalInt::of)
                .orElse(OptionalInt.empty());
        index.ifPresent(given::incrementAndGet);
        return index;
    }

    private int fromStart(int index) {
        return Math.floorMod(index - start, chunks.size());
    }

    /** Whether the chunks from one index up to another, the latter not included, are here. */
    boolean hasAll(int first, int end) {
        return chunks.subList(first, end).stream().allMatch(CompletableFuture::isDone);
    }

    /**
     * Whether all chunks are here.
     *
     * @return true once the last has come
     */
    public boolean complete() {
        return chunks.stream().allMatch(CompletableFuture::isDone);
    }

    /**
     * How many chunks are here.
     *
     * @return their number
     */
    public int present() {
        return (int) chunks.stream().filter(CompletableFuture::isDone).count();
    }
}
