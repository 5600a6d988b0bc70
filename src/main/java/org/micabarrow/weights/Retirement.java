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
 * Stops an endpoint from serving a weight version that may no longer answer, by ordering it to take up one layer of another:
 * it then serves neither. The order needs nothing that comes over the network. If no layer of a newer version is here whole,
 * the layer is taken from whatever lies there. Such a layer must never serve, so before all layers of its version are
 * ordered, the endpoint is made to give it up by an order for a layer of a third version. Used by one thread.
 */
final class Retirement {

    private static final Logger LOG = LoggerFactory.getLogger(Retirement.class);

    /** How often a duty that cannot be done is logged at most, in milliseconds: often enough to see for how long it lasts. */
    private static final long LOG_AGAIN_MILLIS = 1_000;

    /** The layer to order where none is here whole. */
    private static final int ANY_LAYER = 0;

    private final ModelEndpoint endpoint;
    private final IntSupplier layers;
    private final LaidChunks laid;
    private final VersionFetches fetches;
    private final VersionDeadlines deadlines;
    private final LongSupplier steadyMillis;

    /** The versions of which this agent has ordered a whole layer, and those of which it has ordered one that was not. */
    private final Set<Long> orderedWhole = new HashSet<>();

    private final Set<Long> orderedAnyhow = new HashSet<>();

    /** What the endpoint held when it last answered. */
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

    // -- whether it is due

    /** Whether an endpoint must stop serving the version that it holds, when the cordon's time has passed. */
    boolean due(String model, long held) {
        return held > 0 && deadlines.leastAllowed(model, Cordon.MILLIS) > held;
    }

    /** The endpoint has started again: it holds no layer that was ordered before, be it whole or not. */
    void startedAgain() {
        orderedWhole.clear();
        orderedAnyhow.clear();
    }

    /** Takes note of what the endpoint holds. */
    void holds(Map<String, Long> models) {
        lastHeld = models;
    }

    /** Says why nothing can be ordered now, if that keeps the endpoint from being stopped. */
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

    /** How often it was logged that the endpoint could not be stopped; any thread may ask. */
    long timesImpossible() {
        return logged.get();
    }

    // -- stopping

    /** Orders one layer of a newer version: of the newest of which one is here whole, else from whatever lies there. */
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
        // One layer that is all of a version would serve.
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

    /** A layer needs the chunks that overlap with its part of the version. */
    private int firstChunk(ChunkSet set, int layer) {
        return layer * set.digests().size() / layers.getAsInt();
    }

    private int endChunk(ChunkSet set, int layer) {
        return Math.ceilDiv((layer + 1) * set.digests().size(), layers.getAsInt());
    }

    // -- giving up layers that were not whole

    /** Whether the endpoint may have taken layers of a version from chunks that were not all the version's. */
    boolean distrusts(ChunkSet set, Report now) {
        boolean holdsSome = now.parts().getOrDefault(set.model(), 0L) == set.version();
        return holdsSome && !(orderedWhole.contains(set.version()) && !orderedAnyhow.contains(set.version()));
    }

    /** Makes the endpoint give up the layers that it has of a version, so that it takes up all of them afresh. */
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
