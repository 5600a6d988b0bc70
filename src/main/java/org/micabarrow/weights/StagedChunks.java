package org.micabarrow.weights;

import java.util.BitSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The chunks staged beside an endpoint, from which it loads weights. Stages the chunks of the version being fetched as
 * they arrive, and reads them back, since staged chunks may become corrupted. Used by one thread, except
 * {@link #readInto}.
 */
final class StagedChunks {

    private static final Logger LOG = LoggerFactory.getLogger(StagedChunks.class);

    private final ModelEndpoint endpoint;
    private final LongSupplier monotonicMillis;
    private final BitSet stagedChunks = new BitSet();
    private Optional<ChunkSet> stagedSet = Optional.empty();
    private OptionalLong startedMillis = OptionalLong.empty();
    private OptionalLong shortestPassMillis = OptionalLong.empty();

    /** The result of reading all chunks of a version back. */
    sealed interface Verification {

        /** All of them were intact. */
        record Intact(ReadBack readBack) implements Verification {}

        /** Some were corrupted or missing. */
        record Corrupted(int chunks) implements Verification {}

        /** The endpoint did not return them. */
        record Unreadable(Fault fault) implements Verification {}
    }

    /**
     * Creates the staging state of an endpoint. Nothing is known to be staged.
     *
     * @param endpoint the endpoint
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    StagedChunks(ModelEndpoint endpoint, LongSupplier monotonicMillis) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
    }

    // -- restarts

    /**
     * Records the endpoint's start time. After a restart, all chunks must be staged again: staged chunks survive a
     * crash of the endpoint but not a loss of power.
     *
     * @param reported the start time as a Unix timestamp in milliseconds; empty if the endpoint does not report it
     * @return whether the endpoint has restarted
     */
    boolean detectRestart(OptionalLong reported) {
        OptionalLong previous = startedMillis;
        if (reported.isEmpty() || reported.equals(previous)) {
            return false;
        }
        startedMillis = reported;
        if (previous.isEmpty()) {
            return false;
        }
        LOG.warn("event=endpoint_restarted started={} before={}", reported.getAsLong(), previous.getAsLong());
        stagedSet = Optional.empty();
        stagedChunks.clear();
        return true;
    }

    // -- staging

    /**
     * Stages the chunks of a version that have arrived since the last call, while {@code mayContinue} holds. Chunks
     * staged for another version no longer count.
     */
    void stageNew(ChunkSet set, BooleanSupplier mayContinue) {
        if (stagedSet.filter(set::equals).isEmpty()) {
            stagedSet = Optional.of(set);
            stagedChunks.clear();
        }
        for (int i = 0; i < set.digests().size() && mayContinue.getAsBoolean(); i++) {
            if (!stagedChunks.get(i) && set.chunk(i).isPresent() && stageChunk(set, i)) {
                stagedChunks.set(i);
                if (isComplete(set)) {
                    LOG.info("event=staged model={} version={}", set.model(), set.version());
                }
            }
        }
    }

    /**
     * Stages chunks again, since staged ones may be corrupted. Returns for how long they may be relied on; empty if not
     * all of them were staged.
     */
    Optional<ReadBack> restage(ChunkSet set, int first, int end) {
        long beganAtMillis = monotonicMillis.getAsLong();
        if (stagedSet.filter(set::equals).isEmpty()) {
            stagedChunks.clear(first, end);
        }
        for (int i = first; i < end; i++) {
            if (!stageChunk(set, i)) {
                return Optional.empty();
            }
        }
        return Optional.of(ReadBack.of(beganAtMillis, shortestPassMillis.orElse(0)));
    }

    private boolean stageChunk(ChunkSet set, int index) {
        Result<Boolean> result =
                endpoint.stage(set.model(), index, set.chunk(index).orElseThrow());
        result.cause()
                .ifPresent(fault -> LOG.warn(
                        "event=stage_failed model={} version={} chunk={} why=\"{}\"",
                        set.model(),
                        set.version(),
                        index,
                        fault));
        return result.toOptional().isPresent();
    }

    // -- state

    /** Whether all chunks of the version being staged are staged. */
    boolean isComplete(ChunkSet set) {
        return stagedChunks.cardinality() == set.digests().size();
    }

    /** The number of the version's chunks that are not staged yet. */
    int missingCount(ChunkSet set) {
        return set.digests().size() - stagedChunks.cardinality();
    }

    // -- reading back

    /** Reads all chunks back. */
    Verification verify(ChunkSet set) {
        return verify(set, index -> {});
    }

    /** Reads all chunks back and stages corrupted ones again. */
    Verification verifyAndRepair(ChunkSet set) {
        Verification result = verify(set, index -> stageChunk(set, index));
        if (result instanceof Verification.Corrupted(int chunks)) {
            LOG.info("event=chunks_mended model={} version={} chunks={}", set.model(), set.version(), chunks);
        }
        return result;
    }

    private Verification verify(ChunkSet set, IntConsumer onCorrupted) {
        long beganAtMillis = monotonicMillis.getAsLong();
        int corrupted = 0;
        for (int i = 0; i < set.digests().size(); i++) {
            Result<Optional<byte[]>> readBack = endpoint.readStaged(set.model(), i);
            if (readBack instanceof Result.Failure<Optional<byte[]>>(Fault fault)) {
                LOG.warn("event=read_back_failed chunk={} why=\"{}\"", i, fault);
                return new Verification.Unreadable(fault);
            }
            int index = i;
            boolean intact = readBack.toOptional()
                    .flatMap(one -> one)
                    .filter(bytes -> set.matchesDigest(index, bytes))
                    .isPresent();
            if (!intact) {
                corrupted++;
                onCorrupted.accept(index);
            }
        }
        if (corrupted > 0) {
            return new Verification.Corrupted(corrupted);
        }
        long passMillis = monotonicMillis.getAsLong() - beganAtMillis;
        long shortestMillis = Math.min(passMillis, shortestPassMillis.orElse(passMillis));
        shortestPassMillis = OptionalLong.of(shortestMillis);
        return new Verification.Intact(ReadBack.of(beganAtMillis, shortestMillis));
    }

    /** Adds those staged chunks to a set that match its digests. */
    void readInto(ChunkSet set) {
        for (int i = 0; i < set.digests().size(); i++) {
            int index = i;
            endpoint.readStaged(set.model(), i)
                    .toOptional()
                    .flatMap(bytes -> bytes)
                    .ifPresent(bytes -> set.put(index, bytes));
        }
        LOG.info(
                "event=read_back model={} version={} chunks={} of={}",
                set.model(),
                set.version(),
                set.presentCount(),
                set.digests().size());
    }
}
