package org.micabarrow.weights;

import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ModelEndpoint.OrderOutcome;
import org.micabarrow.weights.ModelEndpoint.Report;
import org.micabarrow.weights.StagedChunks.Verification;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders the endpoint to load a staged version, and makes sure that the chunks were intact when it took the order. The
 * agent may be paused at any moment between reading a chunk back and the endpoint's taking the order, and a chunk may
 * become corrupted meanwhile. So the order is sent only while the pass over the chunks is recent; if it was taken later,
 * or it is not known when, the chunks are read once more, and layers that may be of corrupted ones are discarded. Used by
 * one thread.
 */
final class VerifiedLoad {

    private static final Logger LOG = LoggerFactory.getLogger(VerifiedLoad.class);

    private final ModelEndpoint endpoint;
    private final StagedChunks stagedChunks;
    private final Retirement retirement;
    private final LongSupplier monotonicMillis;
    private Optional<Unconfirmed> unconfirmed = Optional.empty();

    /**
     * An order that may have been taken after the proof that its chunks were intact had expired.
     *
     * @param set the version
     * @param answered whether the endpoint is known to have taken the order
     * @param corrupted whether a chunk was corrupted or missing afterwards
     */
    private record Unconfirmed(ChunkSet set, boolean answered, boolean corrupted) {}

    VerifiedLoad(
            ModelEndpoint endpoint, StagedChunks stagedChunks, Retirement retirement, LongSupplier monotonicMillis) {
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.stagedChunks = Objects.requireNonNull(stagedChunks, "stagedChunks is null");
        this.retirement = Objects.requireNonNull(retirement, "retirement is null");
        this.monotonicMillis = Objects.requireNonNull(monotonicMillis, "monotonicMillis is null");
    }

    /** Called when the endpoint has restarted. It no longer holds any layer that was ordered before. */
    void onRestart() {
        unconfirmed = Optional.empty();
    }

    // -- orders

    /**
     * Reads the staged chunks back, repairs corrupted ones, and orders the version if all were intact. Returns whether
     * an order was sent.
     */
    boolean orderIfIntact(ChunkSet set, Report latest) {
        return switch (stagedChunks.verifyAndRepair(set)) {
            case Verification.Intact(ReadBack readBack) -> order(set, latest, readBack);
            case Verification.Corrupted(int chunks) -> {
                markCorrupted(set);
                yield false;
            }
            case Verification.Unreadable(Fault ignored) -> false;
        };
    }

    private boolean order(ChunkSet set, Report latest, ReadBack readBack) {
        if (retirement.mayHoldUnverifiedLayers(set, latest)) {
            retirement.discardLayers(set, latest);
            return true;
        }
        Result<OrderOutcome> outcome = endpoint.load(
                set.model(), set.version(), latest.orderCount(), () -> readBack.isValidAt(monotonicMillis.getAsLong()));
        long ageMillis = monotonicMillis.getAsLong() - readBack.beganAtMillis();
        LOG.info(
                "event=ordered model={} version={} end={} readBackMsAgo={}",
                set.model(),
                set.version(),
                outcome,
                ageMillis);
        boolean begun = outcome.toOptional().filter(OrderOutcome.BEGUN::equals).isPresent();
        if (begun && readBack.isValidAt(monotonicMillis.getAsLong())) {
            // Any earlier order would have been counted, and this one refused.
            unconfirmed = Optional.empty();
        } else if (begun || outcome instanceof Result.Failure<OrderOutcome>) {
            unconfirmed = Optional.of(new Unconfirmed(set, begun, false));
            LOG.warn(
                    "event=load_unconfirmed model={} version={} readBackMsAgo={} answered={}",
                    set.model(),
                    set.version(),
                    ageMillis,
                    begun);
        }
        return outcome.toOptional().filter(OrderOutcome.WITHHELD::equals).isEmpty();
    }

    private void markCorrupted(ChunkSet set) {
        unconfirmed = unconfirmed.map(
                order -> order.set().equals(set) ? new Unconfirmed(order.set(), order.answered(), true) : order);
    }

    // -- confirming loads

    /**
     * Reads the chunks of an unconfirmed order back: if they are intact now, they were when the endpoint took it.
     * Otherwise the endpoint is made to discard the layers as soon as it accepts orders.
     *
     * @param latest the endpoint's last report
     * @return whether the endpoint holds no layers that may be of corrupted chunks; until then it must not serve
     */
    boolean confirm(Report latest) {
        if (unconfirmed.isEmpty()) {
            return true;
        }
        ChunkSet set = unconfirmed.get().set();
        boolean taken = unconfirmed.get().answered() || isLoadedOrLoading(set, latest);
        if (!taken) {
            return true;
        }
        if (!unconfirmed.get().corrupted()) {
            switch (stagedChunks.verify(set)) {
                case Verification.Intact ignored -> {
                    LOG.info("event=load_confirmed model={} version={}", set.model(), set.version());
                    unconfirmed = Optional.empty();
                    return true;
                }
                case Verification.Corrupted(int chunks) -> {
                    LOG.warn("event=load_corrupted model={} version={} chunks={}", set.model(), set.version(), chunks);
                    markCorrupted(set);
                }
                case Verification.Unreadable ignored -> {
                    return false;
                }
            }
        }
        if (!latest.busy() && retirement.discardLayers(set, latest)) {
            unconfirmed = Optional.empty();
        }
        return false;
    }

    private static boolean isLoadedOrLoading(ChunkSet set, Report latest) {
        return latest.busy()
                || latest.models().getOrDefault(set.model(), 0L) == set.version()
                || latest.partialModels().getOrDefault(set.model(), 0L) == set.version();
    }
}
