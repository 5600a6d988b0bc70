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
 * The chunks that lie beside an endpoint, where it takes up weights from: lays those of the version that is being fetched
 * as they come, and reads them back, since what lies there may turn bad. Used by one thread, but for {@link #readInto}.
 */
final class LaidChunks {

    private static final Logger LOG = LoggerFactory.getLogger(LaidChunks.class);

    private final ModelEndpoint endpoint;
    private final BitSet laid = new BitSet();
    private Optional<ChunkSet> from = Optional.empty();
    private OptionalLong startedMillis = OptionalLong.empty();

    /**
     * Makes the place of an endpoint; of what lies there nothing is known.
     *
     * @param endpoint the endpoint
     */
    LaidChunks(ModelEndpoint endpoint) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
    }

    // -- the endpoint's start

    /**
     * Takes note of the endpoint's start. What was laid beside a former one counts no more: it outlasts a crash, but not a loss of
     * power.
     *
     * @param now the Unix millisecond of the start; empty if the endpoint does not tell it
     * @return whether the endpoint has started again
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

    // -- laying

    /** Lays the chunks of a version that have come since the last time, while it may; those of another version count no more. */
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

    /** Lays chunks once more, since what was laid may have turned bad; tells whether all of them lie there. */
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

    // -- what was laid

    /** Whether all chunks of the version that is being laid were laid. */
    boolean all(ChunkSet set) {
        return laid.cardinality() == set.digests().size();
    }

    /** How many of the version's chunks were not laid yet. */
    int missing(ChunkSet set) {
        return set.digests().size() - laid.cardinality();
    }

    // -- reading back

    /** Reads every chunk back and mends those that turned bad; tells whether all were right in this one pass. */
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

    /** Fills a set with those chunks that lie there and are right. */
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
