package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * However chunks arrive, orders fail, and endpoints and agents restart: no old version is served past its limit, no
 * unverified layer is served, and the newest version is served once the failures end.
 */
class RetirementSimulationTest extends ReplicaControllerFixture {

    private static final int SEEDS = 300;
    private static final long STEP_MILLIS = 50;
    private static final long FAILING_MILLIS = 16_000;
    private static final long RECOVERY_MILLIS = MAX_STALENESS_MILLIS + 1_000;
    private static final double FAILURE_RATE = 0.02;
    private static final List<Double> CHUNK_RATES = List.of(0.0, 0.01, 0.04, 0.2);

    private ReplicaController currentController = controller;
    private long secondNamedMillis;
    private long thirdNamedMillis;

    static LongStream seeds() {
        return LongStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldServeNoOldOrUnverifiedVersionInRandomScenarios(long seed) {
        Random random = new Random(seed);
        double chunkRate = CHUNK_RATES.get(random.nextInt(CHUNK_RATES.size()));
        position = new ReplicaController.RegionPosition(random.nextInt(3), 3);
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        secondNamedMillis = now.get();
        thirdNamedMillis = now.get() + random.nextInt((int) FAILING_MILLIS);
        views.addPeerTarget("m", 2);
        for (long endMillis = now.get() + FAILING_MILLIS; now.get() < endMillis; now.addAndGet(STEP_MILLIS)) {
            if (now.get() >= thirdNamedMillis) {
                views.addPeerTarget("m", 3);
            }
            injectFailure(random);
            LongStream.of(2, 3)
                    .filter(version -> random.nextDouble() < chunkRate)
                    .forEach(version -> addChunk(version, random));
            stepAndCheck();
        }
        views.addPeerTarget("m", 3);
        for (long endMillis = now.get() + RECOVERY_MILLIS; now.get() < endMillis; now.addAndGet(STEP_MILLIS)) {
            addChunk(3, random);
            stepAndCheck();
        }
        assertEquals(3, endpoint.held, () -> "orders " + endpoint.orders);
    }

    private void stepAndCheck() {
        currentController.refresh();
        currentController.step();
        assertFalse(endpoint.servesUnverifiedLayer(), () -> "an unverified layer is served: " + endpoint.orders);
        assertTrue(
                endpoint.held != 1 || now.get() - secondNamedMillis <= MAX_STALENESS_MILLIS,
                () -> "too late: " + endpoint.orders);
        assertTrue(
                endpoint.held != 2 || now.get() - thirdNamedMillis <= MAX_STALENESS_MILLIS,
                () -> "too late: " + endpoint.orders);
    }

    /**
     * A refused order, a lost response, a staged chunk that becomes corrupted, or a restart of the endpoint or of the
     * agent.
     */
    private void injectFailure(Random random) {
        if (random.nextDouble() >= FAILURE_RATE) {
            return;
        }
        switch (random.nextInt(5)) {
            case 0 -> endpoint.refusals = 1 + random.nextInt(2);
            case 1 -> endpoint.lostResponses = 1 + random.nextInt(2);
            case 2 -> endpoint.staged.put(random.nextInt(FakeOrigin.CHUNKS), new byte[] {0});
            case 3 -> endpoint.restart(random.nextBoolean());
            default -> currentController = newController();
        }
    }

    /** Adds a random missing chunk. The first chunk creates the version's set. */
    private void addChunk(long version, Random random) {
        if (currentController.chunkSet("m", version).isEmpty()) {
            createSet(version);
        }
        ChunkSet set = currentController.chunkSet("m", version).orElseThrow();
        random.ints(FakeOrigin.CHUNKS, 0, FakeOrigin.CHUNKS)
                .filter(index -> set.chunk(index).isEmpty())
                .findFirst()
                .ifPresent(index -> set.put(index, FakeOrigin.chunk(version, index)));
    }

    /** Adds a version without a thread that fetches it: reading back adds the version that the endpoint reports. */
    private void createSet(long version) {
        long held = endpoint.held;
        endpoint.held = version;
        currentController.refresh();
        currentController.readBack();
        endpoint.held = held;
    }
}
