package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/**
 * An endpoint that loads layers without verification, and that keeps the layers that it already has of a version when
 * it is ordered to load all of it: the worst behaviour possible with an unverified layer.
 */
final class FakeEndpoint implements ModelEndpoint {

    static final int LAYERS = 4;

    private static final int CHUNKS_PER_LAYER = FakeOrigin.CHUNKS / LAYERS;

    final Map<Integer, byte[]> staged = new HashMap<>();
    final List<String> orders = new ArrayList<>();

    /** The version of which it holds all layers, 0 for none. */
    long held;

    /** The version of which it holds only some layers, 0 for none. */
    long partialVersion;

    boolean busy;
    boolean unresponsive;
    boolean readable = true;

    /** The number of next orders that are refused, and of those whose response is lost. */
    int refusals;

    int lostResponses;
    Runnable onStage = () -> {};

    /** Called with the index of each chunk after it was read, before the caller has it. */
    IntConsumer onRead = index -> {};

    /** Called before an order is checked for the last time, and between that check and its being taken. */
    Runnable beforeOrder = () -> {};

    Runnable whileOrderIsSent = () -> {};

    /** The orders for a whole version that it took while one of its chunks was of another version. */
    final List<String> takenUnverified = new ArrayList<>();

    private OptionalLong startedMillis = OptionalLong.of(5_000);
    private final BitSet loadedLayers = new BitSet();
    private final BitSet unverifiedLayers = new BitSet();

    /** Whether it serves with a layer that was loaded while one of its chunks was of another version. */
    boolean servesUnverifiedLayer() {
        return held != 0 && !unverifiedLayers.isEmpty();
    }

    @Override
    public Result<Report> report() {
        if (unresponsive) {
            return noResponse(Fault.Step.STATUS);
        }
        return Result.success(new Report(
                modelsOf(held),
                modelsOf(partialVersion),
                busy,
                orders.size(),
                new EndpointCondition(0, 0, OptionalDouble.empty(), OptionalLong.empty(), OptionalLong.empty()),
                startedMillis,
                false,
                OptionalDouble.empty()));
    }

    /** Restarts after a crash or a loss of power; a loss of power also deletes the staged chunks. */
    void restart(boolean lostPower) {
        startedMillis = OptionalLong.of(startedMillis.getAsLong() + 1);
        orders.clear();
        loadedLayers.clear();
        unverifiedLayers.clear();
        held = 0;
        partialVersion = 0;
        if (lostPower) {
            staged.clear();
        }
    }

    private static Map<String, Long> modelsOf(long version) {
        return version == 0 ? Map.of() : Map.of("m", version);
    }

    private static <T> Result<T> noResponse(Fault.Step step) {
        return Result.failure(Fault.of(step, "endpoint", Fault.Reason.UNREACHABLE, "no answer"));
    }

    @Override
    public synchronized Result<Boolean> stage(String model, int index, byte[] bytes) {
        onStage.run();
        staged.put(index, bytes);
        return Result.success(true);
    }

    @Override
    public Result<Optional<byte[]>> readStaged(String model, int index) {
        Optional<byte[]> chunk = Optional.ofNullable(staged.get(index));
        onRead.accept(index);
        return readable ? Result.success(chunk) : noResponse(Fault.Step.STAGE);
    }

    @Override
    public Result<OrderOutcome> load(String model, long version, long expectedOrders, BooleanSupplier stillDue) {
        beforeOrder.run();
        if (!stillDue.getAsBoolean()) {
            return Result.success(OrderOutcome.WITHHELD);
        }
        return acceptOrder("start " + version, version, 0, LAYERS, expectedOrders);
    }

    @Override
    public Result<OrderOutcome> loadLayer(String model, long version, int layer, long expectedOrders) {
        return acceptOrder("start " + version + " layer " + layer, version, layer, layer + 1, expectedOrders);
    }

    private Result<OrderOutcome> acceptOrder(String description, long version, int from, int end, long expectedOrders) {
        whileOrderIsSent.run();
        if (unresponsive) {
            return noResponse(Fault.Step.ORDER);
        }
        if (refusals > 0 || expectedOrders != orders.size()) {
            refusals--;
            return Result.success(OrderOutcome.CONFLICT);
        }
        orders.add(description);
        loadLayers(version, from, end);
        if (servesUnverifiedLayer()) {
            takenUnverified.add(description);
        }
        return lostResponses-- > 0 ? noResponse(Fault.Step.ORDER) : Result.success(OrderOutcome.BEGUN);
    }

    private void loadLayers(long version, int from, int end) {
        if (version != Math.max(held, partialVersion)) {
            loadedLayers.clear();
            unverifiedLayers.clear();
        }
        for (int layer = from; layer < end; layer++) {
            if (!loadedLayers.get(layer) && !isVerified(version, layer)) {
                unverifiedLayers.set(layer);
            }
            loadedLayers.set(layer);
        }
        held = loadedLayers.cardinality() == LAYERS ? version : 0;
        partialVersion = held == 0 ? version : 0;
    }

    private boolean isVerified(long version, int layer) {
        for (int i = layer * CHUNKS_PER_LAYER; i < (layer + 1) * CHUNKS_PER_LAYER; i++) {
            if (!Arrays.equals(staged.get(i), FakeOrigin.chunk(version, i))) {
                return false;
            }
        }
        return true;
    }
}
