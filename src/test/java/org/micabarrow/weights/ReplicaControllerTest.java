package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An endpoint is brought to the target version, and never loads a version that is incomplete or corrupted. */
class ReplicaControllerTest extends ReplicaControllerFixture {

    @Test
    void shouldBeUpToDateOnlyWhileEndpointServesNewestVersion() {
        assertFalse(controller.isUpToDate(), "no report yet");
        controller.refresh();
        assertFalse(controller.isUpToDate(), "the endpoint holds nothing");
        endpoint.held = 1;
        controller.refresh();
        assertTrue(controller.isUpToDate());
        views.addPeerTarget("m", 2);
        assertFalse(controller.isUpToDate(), "a newer version is named");
    }

    @Test
    void shouldLoadFirstVersionImmediatelyWhenEndpointIsEmpty() throws Exception {
        fetch();
        controller.step();
        assertEquals(List.of("start 1"), endpoint.orders);
    }

    @Test
    void shouldFetchPreviousVersionWhenNoSourceKnowsNewest() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        views.addPeerTarget("m", 3);
        origin.maxKnownVersion = 2;
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS,
                controller.chunkSet("m", 2).map(ChunkSet::presentCount).orElse(0));
    }

    @Test
    void shouldFetchPreviousVersionWhenNewestIsStalled() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        views.addPeerTarget("m", 3);
        origin.maxServedVersion = 2;
        fetch();
        assertEquals(0, controller.chunkSet("m", 3).map(ChunkSet::presentCount).orElse(-1));
        assertEquals(
                FakeOrigin.CHUNKS,
                controller.chunkSet("m", 2).map(ChunkSet::presentCount).orElse(0));
        origin.maxServedVersion = 3;
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS,
                controller.chunkSet("m", 3).map(ChunkSet::presentCount).orElse(0),
                "the newest is fetched again");
    }

    /** Version 2 is complete, and six of eight chunks of version 3 are present one second after its fetch started. */
    private Thread fetchMostOfThirdVersion() throws InterruptedException {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        views.addPeerTarget("m", 3);
        origin.servedEnd = FakeOrigin.CHUNKS - 2;
        Thread fetching = fetchInBackground(3, FakeOrigin.CHUNKS - 2);
        now.addAndGet(1_000);
        return fetching;
    }

    @Test
    void shouldSkipVersionWhenNewerOneIsExpectedSoon() throws Exception {
        position = new ReplicaController.RegionPosition(2, 3);
        Thread fetching = fetchMostOfThirdVersion();
        now.addAndGet(1_600);
        stepThroughCordon();
        assertEquals(List.of("start 3 layer 0"), endpoint.orders, "it stops serving and does not load version 2");
        origin.servedEnd = FakeOrigin.CHUNKS;
        fetching.join();
        controller.refresh();
        controller.step();
        assertEquals(List.of("start 3 layer 0", "start 3"), endpoint.orders);
    }

    @Test
    void shouldLoadVersionWhenNewerOneIsStalled() throws Exception {
        position = new ReplicaController.RegionPosition(2, 3);
        Thread fetching = fetchMostOfThirdVersion();
        now.addAndGet(1_600);
        stepThroughCordon();
        now.addAndGet(3_000);
        controller.refresh();
        controller.step();
        assertEquals(List.of("start 3 layer 0", "start 2"), endpoint.orders);
        origin.servedEnd = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldLoadEveryVersionWhenAgentIsAmongFirstOfItsRegion() throws Exception {
        Thread fetching = fetchMostOfThirdVersion();
        stepThroughCordon();
        assertEquals(List.of("start 2"), endpoint.orders);
        origin.servedEnd = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldFetchOnlyNewestWhenPreviousVersionHasExpired() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        views.addPeerTarget("m", 3);
        now.addAndGet(MAX_STALENESS_MILLIS + 1);
        origin.maxKnownVersion = 2;
        fetch();
        assertTrue(controller.chunkSet("m", 2).isEmpty());
    }

    @Test
    void shouldNotThrottleChunksOfOrigin() throws Exception {
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS,
                controller.chunkSet("m", 1).map(ChunkSet::presentCount).orElse(0));
        assertEquals(0, throttledBytes);
    }

    @Test
    void shouldWaitForScheduledTimeWhenEndpointServesOlderVersion() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        controller.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        stepThroughCordon();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldCloseCordonBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        controller.step();
        assertTrue(controller.isCordoned());
        assertEquals(1, cordonNotifications);
        now.addAndGet(Cordon.LEAD_MILLIS - 1);
        controller.step();
        assertEquals(List.of(), endpoint.orders, "an entry may not have been notified yet");
        now.addAndGet(1);
        controller.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(1, cordonNotifications);
        controller.step();
        assertFalse(controller.isCordoned(), "the endpoint holds the version");
    }

    @Test
    void shouldCloseCordonWhileLastChunksArrive() throws Exception {
        endpoint.held = 1;
        origin.servedEnd = FakeOrigin.CHUNKS - 2;
        views.addPeerTarget("m", 2);
        Thread fetching = fetchInBackground(2, FakeOrigin.CHUNKS - 2);
        controller.step();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        controller.step();
        assertFalse(controller.isCordoned(), "two of eight chunks take longer than the cordon at this rate");
        origin.servedEnd = FakeOrigin.CHUNKS - 1;
        awaitPresent(2, FakeOrigin.CHUNKS - 1);
        now.addAndGet(-MAX_STALENESS_MILLIS / 2 + 3_400);
        controller.step();
        assertTrue(controller.isCordoned());
        now.addAndGet(Cordon.LEAD_MILLIS);
        controller.step();
        assertEquals(List.of(), endpoint.orders, "a chunk is missing");
        origin.servedEnd = FakeOrigin.CHUNKS;
        fetching.join();
        controller.step();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldNotCloseCordonEarlyWhenManyChunksAreStagedAtOnce() throws Exception {
        endpoint.held = 1;
        origin.servedEnd = FakeOrigin.CHUNKS - 2;
        views.addPeerTarget("m", 2);
        Thread fetching = fetchInBackground(2, FakeOrigin.CHUNKS - 2);
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        controller.step();
        assertFalse(
                controller.isCordoned(),
                "six chunks took four seconds to arrive, so two more take longer than the cordon");
        origin.servedEnd = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldLiftCordonWhenEndpointHoldsVersionBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        controller.step();
        assertTrue(controller.isCordoned());
        endpoint.held = 2;
        controller.refresh();
        controller.step();
        assertFalse(controller.isCordoned());
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldRepairCorruptedChunkBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        fetch();
        controller.step();
        endpoint.staged.put(3, new byte[] {0});
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        stepThroughCordon();
        assertEquals(List.of(), endpoint.orders, "the pass that repairs does not order");
        controller.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(FakeOrigin.chunk(2, 3)[1], endpoint.staged.get(3)[1]);
    }

    @Test
    void shouldRejectChunkWithWrongDigest() throws Exception {
        origin.corruptFirst = 3;
        fetch();
        controller.step();
        assertEquals(FakeOrigin.CHUNKS + 3, origin.servedCount);
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            assertEquals(i, endpoint.staged.get(i)[1]);
        }
    }

    @Test
    void shouldLoadNewestVersionWhenTwoWereNamed() throws Exception {
        endpoint.held = 1;
        views.addPeerTarget("m", 2);
        views.addPeerTarget("m", 3);
        fetch();
        now.addAndGet(MAX_STALENESS_MILLIS / 2);
        stepThroughCordon();
        assertEquals(List.of("start 3"), endpoint.orders);
    }

    @Test
    void shouldOrderNothingWhileEndpointIsBusy() throws Exception {
        endpoint.busy = true;
        fetch();
        controller.step();
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldStopServingOlderVersionWhenNewerOneIsNotCompleteInTime() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        controller.refresh();
        controller.readBack();
        origin.servedEnd = 5;
        origin.servedStart = 1;
        views.addPeerTarget("m", 2);
        Thread fetching = fetchInBackground(2, 4);
        controller.refresh();
        controller.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(MAX_STALENESS_MILLIS);
        stepThroughCordon();
        controller.step();
        fetching.interrupt();
        // Without chunk 0 the first complete layer is the second. The older version, complete here, is not loaded
        // again.
        assertEquals(List.of("start 2 layer 1"), endpoint.orders);
    }

    @Test
    void shouldProvideChunksThatEndpointHeldBeforeAgentStarted() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        controller.refresh();
        controller.readBack();
        assertEquals(
                FakeOrigin.CHUNKS, controller.chunkSet("m", 1).orElseThrow().presentCount());
        assertEquals(0, origin.servedCount);
    }

    @Test
    void shouldReserveLinkForRequestsOnlyWhenEndpointMayGetSome() {
        controller.refresh();
        assertFalse(controller.mayHaveRequests(), "the endpoint holds nothing, so the link is free for weights");
        endpoint.held = 1;
        controller.refresh();
        assertTrue(controller.mayHaveRequests());
    }
}
