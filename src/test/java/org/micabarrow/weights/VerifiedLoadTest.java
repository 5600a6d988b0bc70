package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An endpoint never serves layers of a chunk that was corrupted while the agent was paused, wherever the pause falls
 * between reading the chunk and the endpoint's taking the order.
 */
class VerifiedLoadTest extends ReplicaControllerFixture {

    private static final long PAUSE_MILLIS = 4_000;
    private static final long STEP_MILLIS = 50;
    private static final int CORRUPTED_CHUNK = 0;

    private final AtomicInteger pauses = new AtomicInteger(1);

    /** All chunks of version 2 have arrived, and it is due. */
    @BeforeEach
    void stageSecondVersion() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        controller.step();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
    }

    private void corrupt() {
        endpoint.staged.put(CORRUPTED_CHUNK, new byte[] {0});
    }

    /** Pauses the agent as often as is left, while a chunk is corrupted. */
    private void pauseAndCorrupt() {
        if (pauses.getAndDecrement() > 0) {
            now.addAndGet(PAUSE_MILLIS);
            corrupt();
        }
    }

    private void pause() {
        if (pauses.getAndDecrement() > 0) {
            now.addAndGet(PAUSE_MILLIS);
        }
    }

    /** Steps, and checks that entries may never send requests while the endpoint has an unverified layer. */
    private void step() {
        controller.refresh();
        controller.step();
        now.addAndGet(STEP_MILLIS);
        assertTrue(
                !endpoint.servesUnverifiedLayer() || controller.isCordoned(),
                "open with an unverified layer after " + endpoint.orders);
    }

    private void stepUntilSettled() {
        for (int i = 0; i < 40; i++) {
            step();
        }
        assertEquals(2, endpoint.held);
        assertFalse(endpoint.servesUnverifiedLayer(), () -> "after " + endpoint.orders);
        assertFalse(controller.isCordoned());
    }

    // -- before the order

    @ParameterizedTest
    @ValueSource(ints = {0, 1, FakeOrigin.CHUNKS / 2, FakeOrigin.CHUNKS - 1})
    void shouldReadAgainWhenPausedAfterReadingChunk(int chunk) {
        endpoint.onRead = index -> {
            if (index == chunk) {
                pauseAndCorrupt();
            }
        };
        stepUntilSettled();
        assertEquals(List.of(), endpoint.takenUnverified);
    }

    @Test
    void shouldWithholdOrderWhenPausedBeforeItIsSent() {
        endpoint.beforeOrder = this::pauseAndCorrupt;
        stepUntilSettled();
        assertEquals(List.of(), endpoint.takenUnverified);
    }

    @Test
    void shouldOrderOnceWhenEndpointIsSlow() {
        endpoint.onRead = index -> now.addAndGet(150);
        stepUntilSettled();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    // -- while the order is sent

    @Test
    void shouldDiscardLayersWhenChunkWasCorruptedBeforeOrderWasTaken() {
        endpoint.whileOrderIsSent = this::pauseAndCorrupt;
        stepUntilSettled();
        assertEquals(List.of("start 2", "start 1 layer 0", "start 2"), endpoint.orders);
    }

    @Test
    void shouldKeepLayersWhenChunksAreIntactAfterLateOrder() {
        endpoint.whileOrderIsSent = this::pause;
        stepUntilSettled();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldDiscardLayersWhenResponseToLateOrderIsLost() {
        endpoint.lostResponses = 1;
        endpoint.whileOrderIsSent = this::pauseAndCorrupt;
        stepUntilSettled();
        assertEquals(List.of("start 2", "start 1 layer 0", "start 2"), endpoint.orders);
    }

    /** Whether the order was taken at once is unknown without a response. */
    @Test
    void shouldDiscardLayersWhenResponseIsLostAndChunkIsCorruptedAfterwards() {
        endpoint.lostResponses = 1;
        step();
        now.addAndGet(Cordon.LEAD_MILLIS);
        step();
        corrupt();
        stepUntilSettled();
        assertEquals(List.of("start 2", "start 1 layer 0", "start 2"), endpoint.orders);
    }

    @Test
    void shouldStayCordonedWhileChunksCannotBeReadAfterLateOrder() {
        endpoint.whileOrderIsSent = () -> {
            pauseAndCorrupt();
            endpoint.readable = false;
        };
        for (int i = 0; i < 40; i++) {
            step();
        }
        assertTrue(controller.isCordoned());
        endpoint.whileOrderIsSent = () -> {};
        endpoint.readable = true;
        stepUntilSettled();
    }

    /** A busy endpoint refuses orders. */
    @Test
    void shouldDiscardLayersOnceEndpointIsNoLongerBusy() {
        endpoint.whileOrderIsSent = () -> {
            pauseAndCorrupt();
            endpoint.busy = true;
        };
        for (int i = 0; i < 20; i++) {
            step();
        }
        assertEquals(List.of("start 2"), endpoint.orders);
        endpoint.whileOrderIsSent = () -> {};
        endpoint.busy = false;
        stepUntilSettled();
        assertEquals(List.of("start 2", "start 1 layer 0", "start 2"), endpoint.orders);
    }

    @Test
    void shouldForgetLateOrderWhenEndpointRestarts() {
        endpoint.whileOrderIsSent = this::pauseAndCorrupt;
        step();
        now.addAndGet(Cordon.LEAD_MILLIS);
        step();
        assertEquals(List.of("start 2"), endpoint.orders);
        endpoint.restart(false);
        stepUntilSettled();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    // -- a single layer

    /** The layer that stops the endpoint in time is kept when the other layers are loaded. */
    @Test
    void shouldDiscardLayerWhenChunkWasCorruptedBeforeStopWasTaken() throws Exception {
        views.addPeerTarget("m", 3);
        origin.servedEnd = FakeOrigin.CHUNKS - 1;
        fetchInBackground(3, FakeOrigin.CHUNKS - 1);
        now.addAndGet(MAX_STALENESS_MILLIS);
        endpoint.whileOrderIsSent = this::pauseAndCorrupt;
        for (int i = 0; i < 20; i++) {
            step();
        }
        assertEquals(0, endpoint.held);
        origin.servedEnd = FakeOrigin.CHUNKS;
        awaitPresent(3, FakeOrigin.CHUNKS);
        for (int i = 0; i < 40; i++) {
            step();
        }
        assertEquals(3, endpoint.held);
        assertFalse(endpoint.servesUnverifiedLayer(), () -> "after " + endpoint.orders);
    }
}
