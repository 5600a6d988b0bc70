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
 * However chunks come, orders go wrong, endpoints and agents start again: no old version is served past its bound, no layer serves that
 * was not whole, and the newest version is served once all is well.
 */
class RetirementSeedsTest extends KeeperFixture {

    private static final int SEEDS = 300;
    private static final long LOOK_MILLIS = 50;
    private static final long PLAY_MILLIS = 16_000;
    private static final long HEALED_MILLIS = BOUND + 1_000;
    private static final double TROUBLE = 0.02;
    private static final List<Double> CHUNK_RATES = List.of(0.0, 0.01, 0.04, 0.2);

    private ReplicaController agent = keeper;
    private long secondNamedMillis;
    private long thirdNamedMillis;

    static LongStream seeds() {
        return LongStream.range(0, SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldServeNothingOldNorWrongWhateverComes(long seed) {
        Random random = new Random(seed);
        double chunkRate = CHUNK_RATES.get(random.nextInt(CHUNK_RATES.size()));
        place = new ReplicaController.Place(random.nextInt(3), 3);
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        secondNamedMillis = now.get();
        thirdNamedMillis = now.get() + random.nextInt((int) PLAY_MILLIS);
        views.want("m", 2);
        for (long until = now.get() + PLAY_MILLIS; now.get() < until; now.addAndGet(LOOK_MILLIS)) {
            if (now.get() >= thirdNamedMillis) {
                views.want("m", 3);
            }
            trouble(random);
            LongStream.of(2, 3)
                    .filter(version -> random.nextDouble() < chunkRate)
                    .forEach(v -> chunkComes(v, random));
            look();
        }
        views.want("m", 3);
        for (long until = now.get() + HEALED_MILLIS; now.get() < until; now.addAndGet(LOOK_MILLIS)) {
            chunkComes(3, random);
            look();
        }
        assertEquals(3, endpoint.held, () -> "orders " + endpoint.orders);
    }

    private void look() {
        agent.refresh();
        agent.step();
        assertFalse(endpoint.servesWrongLayer(), () -> "a layer that was not whole serves: " + endpoint.orders);
        assertTrue(endpoint.held != 1 || now.get() - secondNamedMillis <= BOUND, () -> "too late: " + endpoint.orders);
        assertTrue(endpoint.held != 2 || now.get() - thirdNamedMillis <= BOUND, () -> "too late: " + endpoint.orders);
    }

    /** A refused order, a lost answer, a chunk that turns bad where it lies, an endpoint or an agent that starts again. */
    private void trouble(Random random) {
        if (random.nextDouble() >= TROUBLE) {
            return;
        }
        switch (random.nextInt(5)) {
            case 0 -> endpoint.refuses = 1 + random.nextInt(2);
            case 1 -> endpoint.losesAnswers = 1 + random.nextInt(2);
            case 2 -> endpoint.staged.put(random.nextInt(FakeOrigin.CHUNKS), new byte[] {0});
            case 3 -> endpoint.startAgain(random.nextBoolean());
            default -> agent = newKeeper();
        }
    }

    /** Any chunk that is missing; the first one begins the version. */
    private void chunkComes(long version, Random random) {
        if (agent.set("m", version).isEmpty()) {
            begin(version);
        }
        ChunkSet set = agent.set("m", version).orElseThrow();
        random.ints(FakeOrigin.CHUNKS, 0, FakeOrigin.CHUNKS)
                .filter(index -> set.chunk(index).isEmpty())
                .findFirst()
                .ifPresent(index -> set.put(index, FakeOrigin.chunk(version, index)));
    }

    /** Begins a version without a thread that fetches it: reading back begins what the endpoint says that it holds. */
    private void begin(long version) {
        long held = endpoint.held;
        endpoint.held = version;
        agent.refresh();
        agent.readBack();
        endpoint.held = held;
    }
}
