package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An endpoint is not taken out of service for a version of which no more chunks arrive. */
class StalledVersionTest extends ReplicaControllerFixture {

    private static final long STEP_MILLIS = 50;
    private static final long BOUND_MILLIS = 13_400;

    /** The service that an endpoint may give away before the bound: stop allowance, cordon, and a step of the test. */
    private static final long MAX_GIVEN_AWAY_MILLIS = 1_280 + Cordon.LEAD_MILLIS + STEP_MILLIS;

    @Override
    long maxStalenessMillis() {
        return BOUND_MILLIS;
    }

    /** Steps for a time. Returns for how long of it the endpoint served. */
    private long stepFor(long millis) {
        long servedMillis = 0;
        for (long endMillis = now.get() + millis; now.get() < endMillis; now.addAndGet(STEP_MILLIS)) {
            controller.refresh();
            controller.step();
            servedMillis += endpoint.held > 0 && !controller.isCordoned() ? STEP_MILLIS : 0;
        }
        return servedMillis;
    }

    private void holdFirstVersion() {
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        controller.refresh();
        controller.readBack();
    }

    @Test
    void shouldServeUntilBoundWhenLastChunkDoesNotArrive() {
        holdFirstVersion();
        views.addPeerTarget("m", 2);
        origin.servedEnd = FakeOrigin.CHUNKS - 1;
        fetchInBackground(2, FakeOrigin.CHUNKS - 1);
        // Seven chunks in that time: at this rate the last one is expected before the cordon would be over.
        long startedMillis = now.addAndGet(3_500) - 3_500;
        long servedMillis = stepFor(BOUND_MILLIS - 3_500);
        assertTrue(
                3_500 + servedMillis >= BOUND_MILLIS - MAX_GIVEN_AWAY_MILLIS - 2 * Cordon.LEAD_MILLIS,
                "served for " + servedMillis + " ms after the last chunk but one");
        assertEquals(0, endpoint.held, "stopped " + (now.get() - startedMillis) + " ms after the naming");
    }

    @Test
    void shouldServeUntilBoundWhenNoSourceHasChunks() {
        holdFirstVersion();
        origin.maxKnownVersion = 1;
        views.addPeerTarget("m", 2);
        long servedMillis = stepFor(BOUND_MILLIS);
        assertTrue(servedMillis >= BOUND_MILLIS - MAX_GIVEN_AWAY_MILLIS, "served for " + servedMillis + " ms");
        assertEquals(List.of("start 2 layer 0"), endpoint.orders);
        assertEquals(0, endpoint.held);
    }

    @Test
    void shouldStopWithinAllowanceWhenNoSourceHasChunks() {
        holdFirstVersion();
        origin.maxKnownVersion = 1;
        views.addPeerTarget("m", 2);
        stepFor(BOUND_MILLIS);
        long beforeBoundMillis = controller.lastStopBeforeBoundMillis();
        assertTrue(
                beforeBoundMillis > 0 && beforeBoundMillis <= MAX_GIVEN_AWAY_MILLIS,
                "stopped " + beforeBoundMillis + " ms before the bound");
    }

    @Test
    void shouldLoadCompleteVersionWhenChunksOfNewerOneStopArriving() throws Exception {
        position = new ReplicaController.RegionPosition(2, 3);
        holdFirstVersion();
        views.addPeerTarget("m", 2);
        fetch();
        stepFor(4_000);
        views.addPeerTarget("m", 3);
        origin.servedEnd = FakeOrigin.CHUNKS - 2;
        fetchInBackground(3, FakeOrigin.CHUNKS - 2);
        stepFor(BOUND_MILLIS - 4_000);
        assertEquals(2, endpoint.held, "two chunks of the newer version are not known to come");
        assertFalse(endpoint.servesUnverifiedLayer());
    }
}
