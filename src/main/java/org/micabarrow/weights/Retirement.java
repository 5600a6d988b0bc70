package org.micabarrow.weights;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.weights.ModelEndpoint.OrderEnd;
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
    private static final long LOG_AGAIN_MILLIS = 1_000;

    /** The layer to order if none is complete. */
    private static final int ANY_LAYER = 0;

    private final ModelEndpoint endpoint;
    private final IntSupplier layers;
    private final LaidChunks laid;
    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;

    /**
     * The versions of which this agent has ordered a complete layer, and those of which it has ordered an unverified
     * one.
     */
    private final Set<Long> orderedWhole = new HashSet<>();

    private final Set<Long> orderedAnyhow = new HashSet<>();

    /** The versions that the endpoint held in its last report. */
    private Map<String, Long> lastHeld = Map.of();

    private long loggedMillis = Long.MIN_VALUE / 2;
    private final AtomicLong logged = new AtomicLong();

    Retirement(
            ModelEndpoint endpoint,
            IntSupplier layers,
            LaidChunks laid,
            VersionFetches fetches,
            VersionDeadlines deadlines,
            LongSupplier steadyMillis) {
        this.endpoint = endpoint;
        this.layers = layers;
        this.laid = laid;
        this.fetches = fetches;
        this.deadlines = deadlines;
        this.steadyMillis = steadyMillis;
    }

    // -- whether a retirement is due

    /**
     * Whether the endpoint must stop serving the version that it holds by the time a cordon closed now would take
     * effect.
     */
    boolean due(String model, long held) {
        return held > 0 && deadlines.leastAllowed(model, Cordon.MILLIS) > held;
    }

    /** Called when the endpoint has restarted. It no longer holds any layer that was ordered before. */
    void startedAgain() {
        orderedWhole.clear();
        orderedAnyhow.clear();
    }

    /** Updates the versions that the endpoint holds. */
    void holds(Map<String, Long> models) {
        lastHeld = models;
    }

    /** Logs why no order can be given now, if a retirement is due. */
    void hindered(String why) {
        lastHeld.forEach((model, held) -> {
            if (due(model, held)) {
                impossible(model, held, why);
            }
        });
    }

    private void impossible(String model, long held, String why) {
        long now = steadyMillis.getAsLong();
        if (now - loggedMillis >= LOG_AGAIN_MILLIS) {
            loggedMillis = now;
            logged.incrementAndGet();
            LOG.warn("event=retire_impossible model={} held={} why=\"{}\"", model, held, why);
        }
    }

    /** The number of log lines about impossible retirements. Can be called by any thread. */
    long timesImpossible() {
        return logged.get();
    }

    // -- retiring

    /** Orders one layer of a newer version: the newest version with a complete layer, or else an unverified layer. */
    void retire(String model, long held, Report now) {
        for (ChunkSet set : fetches.newerThan(model, held)) {
            OptionalInt layer = wholeLayer(set);
            if (layer.isPresent()
                    && laid.layAgain(set, firstChunk(set, layer.getAsInt()), endChunk(set, layer.getAsInt()))) {
                orderedWhole.add(set.version());
                orderLayer(model, held, set.version(), layer.getAsInt(), now);
                return;
            }
        }
        retireAnyhow(model, held, now);
    }

    private void retireAnyhow(String model, long held, Report now) {
        // A single layer would be the whole version and would be served.
        if (layers.getAsInt() <= 1) {
            impossible(model, held, "a version has no more than one layer");
            return;
        }
        long newer = deadlines.oldestNewer(model, held);
        orderedAnyhow.add(newer);
        orderLayer(model, held, newer, ANY_LAYER, now);
    }

    private void orderLayer(String model, long held, long version, int layer, Report now) {
        switch (endpoint.startLayer(model, version, layer, now.orders())) {
            case Result.Success<OrderEnd>(OrderEnd end)
            when end == OrderEnd.BEGUN ->
                LOG.warn(
                        "event=retired model={} from={} towards={} layer={} whole={}",
                        model,
                        held,
                        version,
                        layer,
                        !orderedAnyhow.contains(version));
            case Result.Success<OrderEnd>(OrderEnd end) -> impossible(model, held, "the endpoint answered " + end);
            case Result.Failure<OrderEnd>(Fault fault) -> impossible(model, held, fault.toString());
        }
    }

    private OptionalInt wholeLayer(ChunkSet set) {
        for (int layer = 0; layer < layers.getAsInt(); layer++) {
            if (set.hasAll(firstChunk(set, layer), endChunk(set, layer))) {
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
    boolean distrusts(ChunkSet set, Report now) {
        boolean holdsSome = now.parts().getOrDefault(set.model(), 0L) == set.version();
        return holdsSome && !(orderedWhole.contains(set.version()) && !orderedAnyhow.contains(set.version()));
    }

    /** Makes the endpoint discard its layers of a version, so that it loads all of them again. */
    void giveUp(ChunkSet set, Report now) {
        OptionalLong third = deadlines.otherThan(set.model(), set.version());
        if (third.isEmpty()) {
            impossible(set.model(), 0, "no third version is known, to give up layers of version " + set.version());
            return;
        }
        orderedAnyhow.add(third.getAsLong());
        Result<OrderEnd> end = endpoint.startLayer(set.model(), third.getAsLong(), ANY_LAYER, now.orders());
        LOG.info(
                "event=layers_given_up model={} version={} by={} end={}",
                set.model(),
                set.version(),
                third.getAsLong(),
                end);
    }
}
