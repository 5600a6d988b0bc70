package org.micabarrow.weights;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ModelEndpoint.OrderOutcome;
import org.micabarrow.weights.ModelEndpoint.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stops an endpoint from serving a weight version that may no longer be served, by ordering it to load one layer of
 * another version: it then serves neither. The order needs nothing from the network. If no layer of a newer version is
 * complete, the endpoint loads a layer from whatever chunks are staged. Such an unverified layer must never be served,
 * so before all layers of its version are ordered, the endpoint is made to discard it by an order for a layer of a
 * third version. Used by one thread.
 */
final class Retirement {

    private static final Logger LOG = LoggerFactory.getLogger(Retirement.class);

    /**
     * The minimum interval between log lines about a retirement that is impossible, in milliseconds: short enough to
     * show how long it lasts.
     */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The layer to order if none is complete. */
    private static final int FALLBACK_LAYER = 0;

    private final ModelEndpoint endpoint;
    private final IntSupplier layers;
    private final StagedChunks stagedChunks;
    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier monotonicMillis;

    /**
     * The versions of which this agent has ordered a complete layer, and those of which it has ordered an unverified
     * one.
     */
    private final Set<Long> completeLayerVersions = new HashSet<>();

    private final Set<Long> unverifiedLayerVersions = new HashSet<>();

    /** The versions that the endpoint held in its last report. */
    private Map<String, Long> heldVersions = Map.of();

    private long lastLoggedMillis = Long.MIN_VALUE / 2;
    private final AtomicLong logCount = new AtomicLong();
    private volatile long lastStopBeforeBoundMillis;

    Retirement(
            ModelEndpoint endpoint,
            IntSupplier layers,
            StagedChunks stagedChunks,
            VersionFetches fetches,
            VersionDeadlines deadlines,
            LongSupplier monotonicMillis) {
        this.endpoint = endpoint;
        this.layers = layers;
        this.stagedChunks = stagedChunks;
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.monotonicMillis = monotonicMillis;
    }

    // -- whether a retirement is due

    /**
     * Whether the endpoint must stop serving the version that it holds by the time a cordon closed now would take
     * effect.
     */
    boolean isDue(String model, long held) {
        return held > 0 && deadlines.minAllowedVersion(model, Cordon.LEAD_MILLIS) > held;
    }

    /** Called when the endpoint has restarted. It no longer holds any layer that was ordered before. */
    void onRestart() {
        completeLayerVersions.clear();
        unverifiedLayerVersions.clear();
    }

    /** Updates the versions that the endpoint holds. */
    void updateHeld(Map<String, Long> models) {
        heldVersions = models;
    }

    /** Logs why no order can be given now, if a retirement is due. */
    void reportBlocked(String reason) {
        heldVersions.forEach((model, held) -> {
            if (isDue(model, held)) {
                logImpossible(model, held, reason);
            }
        });
    }

    private void logImpossible(String model, long held, String reason) {
        long now = monotonicMillis.getAsLong();
        if (now - lastLoggedMillis >= LOG_INTERVAL_MILLIS) {
            lastLoggedMillis = now;
            logCount.incrementAndGet();
            LOG.warn("event=retire_impossible model={} held={} why=\"{}\"", model, held, reason);
        }
    }

    /** The number of log lines about impossible retirements. Can be called by any thread. */
    long impossibleCount() {
        return logCount.get();
    }

    // -- retiring

    /** Orders one layer of a newer version: the newest version with a complete layer, or else an unverified layer. */
    void retire(String model, long held, Report report) {
        for (ChunkSet set : fetches.newerThan(model, held)) {
            OptionalInt layer = firstCompleteLayer(set);
            Optional<ReadBack> restaged = layer.isPresent()
                    ? stagedChunks.restage(set, firstChunk(set, layer.getAsInt()), endChunk(set, layer.getAsInt()))
                    : Optional.empty();
            if (restaged.isPresent()) {
                completeLayerVersions.add(set.version());
                orderLayer(model, held, set.version(), layer.getAsInt(), report);
                // The endpoint must stop in any case, but a chunk may have become corrupted before it took the order.
                if (!restaged.get().isValidAt(monotonicMillis.getAsLong())) {
                    LOG.warn("event=layer_unverified model={} version={}", model, set.version());
                    unverifiedLayerVersions.add(set.version());
                }
                return;
            }
        }
        retireWithUnverifiedLayer(model, held, report);
    }

    private void retireWithUnverifiedLayer(String model, long held, Report report) {
        // A single layer would be the whole version and would be served.
        if (layers.getAsInt() <= 1) {
            logImpossible(model, held, "the model has only one layer");
            return;
        }
        long newer = deadlines.firstNewer(model, held);
        unverifiedLayerVersions.add(newer);
        orderLayer(model, held, newer, FALLBACK_LAYER, report);
    }

    private void orderLayer(String model, long held, long version, int layer, Report report) {
        switch (endpoint.loadLayer(model, version, layer, report.orderCount())) {
            case Result.Success<OrderOutcome>(OrderOutcome outcome)
            when outcome == OrderOutcome.BEGUN -> onStopped(model, held, version, layer);
            case Result.Success<OrderOutcome>(OrderOutcome outcome) ->
                logImpossible(model, held, "the endpoint answered " + outcome);
            case Result.Failure<OrderOutcome>(Fault fault) -> logImpossible(model, held, fault.toString());
        }
    }

    private void onStopped(String model, long held, long version, int layer) {
        lastStopBeforeBoundMillis = deadlines.millisUntilBound(model, held).orElse(0);
        VersionMoments moments = deadlines.moments();
        LOG.warn(
                "event=retired model={} from={} towards={} layer={} whole={} beforeBoundMs={} boundMs={} allowanceMs={}"
                        + " learningMs={} pauseMs={} transitMs={} orderMs={}",
                model,
                held,
                version,
                layer,
                !unverifiedLayerVersions.contains(version),
                lastStopBeforeBoundMillis,
                moments.boundMillis(),
                moments.stopAllowanceMillis(),
                VersionMoments.LEARNING_MILLIS,
                VersionMoments.PAUSE_MILLIS,
                VersionMoments.TRANSIT_MILLIS,
                VersionMoments.ORDER_MILLIS);
    }

    /** How long before its bound the last version was stopped, in milliseconds; 0 before the first stop. */
    long lastStopBeforeBoundMillis() {
        return lastStopBeforeBoundMillis;
    }

    private OptionalInt firstCompleteLayer(ChunkSet set) {
        for (int layer = 0; layer < layers.getAsInt(); layer++) {
            if (set.hasRange(firstChunk(set, layer), endChunk(set, layer))) {
                return OptionalInt.of(layer);
            }
        }
        return OptionalInt.empty();
    }

    /** A layer consists of the chunks that overlap with its range of the version. */
    private int firstChunk(ChunkSet set, int layer) {
        return layer * set.digests().size() / layers.getAsInt();
    }

    private int endChunk(ChunkSet set, int layer) {
        return Math.ceilDiv((layer + 1) * set.digests().size(), layers.getAsInt());
    }

    // -- discarding unverified layers

    /** Whether the endpoint may hold layers of a version that were loaded from chunks of another version. */
    boolean mayHoldUnverifiedLayers(ChunkSet set, Report report) {
        boolean holdsLayers = report.partialModels().getOrDefault(set.model(), 0L) == set.version();
        return holdsLayers
                && !(completeLayerVersions.contains(set.version()) && !unverifiedLayerVersions.contains(set.version()));
    }

    /**
     * Makes the endpoint discard its layers of a version, so that it loads all of them again. Returns whether it has
     * accepted the order.
     */
    boolean discardLayers(ChunkSet set, Report report) {
        OptionalLong otherVersion = deadlines.anyOtherVersion(set.model(), set.version());
        if (otherVersion.isEmpty()) {
            logImpossible(
                    set.model(),
                    0,
                    "no other version is known to replace the unverified layers of version " + set.version());
            return false;
        }
        unverifiedLayerVersions.add(otherVersion.getAsLong());
        Result<OrderOutcome> outcome =
                endpoint.loadLayer(set.model(), otherVersion.getAsLong(), FALLBACK_LAYER, report.orderCount());
        LOG.info(
                "event=layers_given_up model={} version={} by={} end={}",
                set.model(),
                set.version(),
                otherVersion.getAsLong(),
                outcome);
        return outcome.toOptional().filter(OrderOutcome.BEGUN::equals).isPresent();
    }
}
