package org.micabarrow.weights;

import java.util.BitSet;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The chunks staged beside an endpoint, from which it loads weights. Stages the chunks of the version being fetched as
 * they arrive, and reads them back, since staged chunks may become corrupted. Used by one thread, except {@link #readInto}.
 */
final class LaidChunks {

    private static final Logger LOG = LoggerFactory.getLogger(LaidChunks.class);

    private final ModelEndpoint endpoint;
    private final BitSet laid = new BitSet();
    private Optional<ChunkSet> from = Optional.empty();
    private OptionalLong startedMillis = OptionalLong.empty();

    /**
     * Creates the staging state of an endpoint. Nothing is known to be staged.
     *
     * @param endpoint the endpoint
     */
    LaidChunks(ModelEndpoint endpoint) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
    }

    // -- restarts of the endpoint

    /**
     * Records the endpoint's start time. After a restart, all chunks must be staged again: staged chunks survive a
     * crash of the endpoint but not a loss of power.
     *
     * @param now the start time as a Unix timestamp in milliseconds; empty if the endpoint does not report it
     * @return whether the endpoint has restarted
     */
    boolean startedAgain(OptionalLong now) {
        OptionalLong before = startedMillis;
        if (now.isEmpty() || now.equals(before)) {
            return false;
        }
        startedMillis = now;
        if (before.isEmpty()) {
            return false;
        }
        LOG.warn("event=endpoint_restarted started={} before={}", now.getAsLong(), before.getAsLong());
        from = Optional.empty();
        laid.clear();
        return true;
    }

    // -- staging

    /**
     * Stages the chunks of a version that have arrived since the last call, while {@code mayContinue} holds. Chunks
     * staged for another version no longer count.
     */
    void layNew(ChunkSet set, BooleanSupplier goesOn) {
        if (from.filter(set::equals).isEmpty()) {
            from = Optional.of(set);
            laid.clear();
        }
        for (int i = 0; i < set.digests().size() && goesOn.getAsBoolean(); i++) {
            if (!laid.get(i) && set.chunk(i).isPresent() && lay(set, i)) {
                laid.set(i);
                if (all(set)) {
                    LOG.info("event=staged model={} version={}", set.model(), set.version());
                }
            }
        }
    }

    /** Stages chunks again, since staged ones may be corrupted. Returns whether all of them were staged. */
    boolean layAgain(ChunkSet set, int first, int end) {
        if (from.filter(set::equals).isEmpty()) {
            laid.clear(first, end);
        }
        for (int i = first; i < end; i++) {
            if (!lay(set, i)) {
                return false;
            }
        }
        return true;
    }

    private boolean lay(ChunkSet set, int index) {
        Result<Boolean> done =
                endpoint.stage(set.model(), index, set.chunk(index).orElseThrow());
        done.cause()
                .ifPresent(fault -> LOG.warn(
                        "event=stage_failed model={} version={} chunk={} why=\"{}\"",
                        set.model(),
                        set.version(),
                        index,
                        fault));
        return done.toOptional().isPresent();
    }

    // -- state

    /** Whether all chunks of the version being staged are staged. */
    boolean all(ChunkSet set) {
        return laid.cardinality() == set.digests().size();
    }

    /** The number of the version's chunks that are not staged yet. */
    int missing(ChunkSet set) {
        return set.digests().size() - laid.cardinality();
    }

    // -- reading back

    /** Reads all chunks back and stages corrupted ones again. Returns whether all were intact in this pass. */
    boolean verify(ChunkSet set) {
        int mended = 0;
        for (int i = 0; i < set.digests().size(); i++) {
            Result<Optional<byte[]>> lies = endpoint.staged(set.model(), i);
            if (lies instanceof Result.Failure<Optional<byte[]>>(Fault fault)) {
                LOG.warn("event=read_back_failed chunk={} why=\"{}\"", i, fault);
                return false;
            }
            int index = i;
            boolean right = lies.toOptional()
                    .flatMap(one -> one)
                    .filter(bytes -> set.right(index, bytes))
                    .isPresent();
            if (!right) {
                mended++;
                lay(set, i);
            }
        }
        if (mended > 0) {
            LOG.info("event=chunks_mended model={} version={} chunks={}", set.model(), set.version(), mended);
        }
        return mended == 0;
    }

    /** Adds those staged chunks to a set that match its digests. */
    void readInto(ChunkSet set) {
        for (int i = 0; i < set.digests().size(); i++) {
            int index = i;
            endpoint.staged(set.model(), i)
                    .toOptional()
                    .flatMap(bytes -> bytes)
                    .ifPresent(bytes -> set.put(index, bytes));
        }
        LOG.info(
                "event=read_back model={} version={} chunks={} of={}",
                set.model(),
                set.version(),
                set.present(),
                set.digests().size());
    }
}
