package org.micabarrow.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** An endpoint is brought to the wanted version, and never takes up what is not whole and right. */
class ReplicaControllerTest extends KeeperFixture {

    @Test
    void shouldBeSettledOnlyWhileEndpointServesNewestVersion() {
        assertFalse(keeper.settled(), "nothing is known of the endpoint");
        keeper.refresh();
        assertFalse(keeper.settled(), "it holds nothing");
        endpoint.held = 1;
        keeper.refresh();
        assertTrue(keeper.settled());
        views.want("m", 2);
        assertFalse(keeper.settled(), "a newer version is named");
    }

    @Test
    void shouldStartEmptyEndpointAtOnceWithFirstVersion() throws Exception {
        fetch();
        keeper.step();
        assertEquals(List.of("start 1"), endpoint.orders);
    }

    @Test
    void shouldGoOnWithVersionBeforeWhenNobodyKnowsNewest() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        origin.knowsUpTo = 2;
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS, keeper.set("m", 2).map(ChunkSet::present).orElse(0));
    }

    @Test
    void shouldGoOnWithVersionBeforeWhenChunksOfNewestComeNoMore() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        origin.givesUpTo = 2;
        fetch();
        assertEquals(0, keeper.set("m", 3).map(ChunkSet::present).orElse(-1));
        assertEquals(
                FakeOrigin.CHUNKS, keeper.set("m", 2).map(ChunkSet::present).orElse(0));
        origin.givesUpTo = 3;
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS, keeper.set("m", 3).map(ChunkSet::present).orElse(0), "then the newest again");
    }

    /** Version 2 whole, and six of eight chunks of version 3 here a second after the fetching of it began. */
    private Thread fetchMostOfThird() throws InterruptedException {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        views.want("m", 3);
        origin.gives = FakeOrigin.CHUNKS - 2;
        Thread fetching = fetchBeside(3, FakeOrigin.CHUNKS - 2);
        now.addAndGet(1_000);
        return fetching;
    }

    @Test
    void shouldGoPastVersionWhenNewerOneIsExpectedSoon() throws Exception {
        place = new ReplicaController.Place(2, 3);
        Thread fetching = fetchMostOfThird();
        now.addAndGet(1_600);
        stepTwice();
        assertEquals(List.of("start 3 layer 0"), endpoint.orders, "it stops serving, and does not take up version 2");
        origin.gives = FakeOrigin.CHUNKS;
        fetching.join();
        keeper.refresh();
        keeper.step();
        assertEquals(List.of("start 3 layer 0", "start 3"), endpoint.orders);
    }

    @Test
    void shouldTakeVersionWhenNewerOneComesNoMore() throws Exception {
        place = new ReplicaController.Place(2, 3);
        Thread fetching = fetchMostOfThird();
        now.addAndGet(1_600);
        stepTwice();
        now.addAndGet(3_000);
        keeper.refresh();
        keeper.step();
        assertEquals(List.of("start 3 layer 0", "start 2"), endpoint.orders);
        origin.gives = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldTakeEveryVersionWhenItIsAmongTheFirstOfItsRegion() throws Exception {
        Thread fetching = fetchMostOfThird();
        stepTwice();
        assertEquals(List.of("start 2"), endpoint.orders);
        origin.gives = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldFetchNothingButNewestWhenTheOneBeforeMayAnswerNoMore() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        now.addAndGet(BOUND + 1);
        origin.knowsUpTo = 2;
        fetch();
        assertTrue(keeper.set("m", 2).isEmpty());
    }

    @Test
    void shouldNotHoldBackChunksOfOrigin() throws Exception {
        fetch();
        assertEquals(
                FakeOrigin.CHUNKS, keeper.set("m", 1).map(ChunkSet::present).orElse(0));
        assertEquals(0, pacedBytes);
    }

    @Test
    void shouldWaitForItsTurnWhenEndpointServesOlderVersion() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldKeepNewRequestsAwayBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertTrue(keeper.closing());
        assertEquals(1, toldClosing);
        now.addAndGet(Cordon.MILLIS - 1);
        keeper.step();
        assertEquals(List.of(), endpoint.orders, "an entry may not have heard yet");
        now.addAndGet(1);
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(1, toldClosing);
        keeper.step();
        assertFalse(keeper.closing(), "the endpoint holds the version");
    }

    @Test
    void shouldKeepNewRequestsAwayWhileLastChunksCome() throws Exception {
        endpoint.held = 1;
        origin.gives = FakeOrigin.CHUNKS - 2;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, FakeOrigin.CHUNKS - 2);
        keeper.step();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertFalse(keeper.closing(), "two of eight chunks at this pace take longer than the cordon");
        origin.gives = FakeOrigin.CHUNKS - 1;
        awaitPresent(2, FakeOrigin.CHUNKS - 1);
        now.addAndGet(-BOUND / 2 + 3_400);
        keeper.step();
        assertTrue(keeper.closing());
        now.addAndGet(Cordon.MILLIS);
        keeper.step();
        assertEquals(List.of(), endpoint.orders, "a chunk is missing");
        origin.gives = FakeOrigin.CHUNKS;
        fetching.join();
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
    }

    @Test
    void shouldNotKeepRequestsAwayEarlyWhenManyChunksAreLaidInAnInstant() throws Exception {
        endpoint.held = 1;
        origin.gives = FakeOrigin.CHUNKS - 2;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, FakeOrigin.CHUNKS - 2);
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertFalse(
                keeper.closing(), "six chunks took four seconds to come, so that two more take longer than the cordon");
        origin.gives = FakeOrigin.CHUNKS;
        fetching.join();
    }

    @Test
    void shouldTakeRequestsAgainWhenVersionIsOvertakenBeforeOrder() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        now.addAndGet(BOUND / 2);
        keeper.step();
        assertTrue(keeper.closing());
        endpoint.held = 2;
        keeper.refresh();
        keeper.step();
        assertFalse(keeper.closing());
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldMendChunkThatTurnedBadBeforeOrdering() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        fetch();
        keeper.step();
        endpoint.staged.put(3, new byte[] {0});
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of(), endpoint.orders, "the pass that mends does not order");
        keeper.step();
        assertEquals(List.of("start 2"), endpoint.orders);
        assertEquals(FakeOrigin.chunk(2, 3)[1], endpoint.staged.get(3)[1]);
    }

    @Test
    void shouldNotTakeChunkWithWrongDigest() throws Exception {
        origin.spoilFirst = 3;
        fetch();
        keeper.step();
        assertEquals(FakeOrigin.CHUNKS + 3, origin.given);
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            assertEquals(i, endpoint.staged.get(i)[1]);
        }
    }

    @Test
    void shouldGoToNewestVersionWhenTwoWereNamed() throws Exception {
        endpoint.held = 1;
        views.want("m", 2);
        views.want("m", 3);
        fetch();
        now.addAndGet(BOUND / 2);
        stepTwice();
        assertEquals(List.of("start 3"), endpoint.orders);
    }

    @Test
    void shouldOrderNothingWhileEndpointIsBusy() throws Exception {
        endpoint.busy = true;
        fetch();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
    }

    @Test
    void shouldStopServingOlderVersionWhenNewerOneIsNotWholeInTime() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        keeper.refresh();
        keeper.readBack();
        origin.gives = 5;
        origin.givesFrom = 1;
        views.want("m", 2);
        Thread fetching = fetchBeside(2, 4);
        keeper.refresh();
        keeper.step();
        assertEquals(List.of(), endpoint.orders);
        now.addAndGet(BOUND);
        stepTwice();
        keeper.step();
        fetching.interrupt();
        // Without chunk 0 the first whole layer is the second; the older version, here whole, is not taken up again.
        assertEquals(List.of("start 2 layer 1"), endpoint.orders);
    }

    @Test
    void shouldHandOutWhatEndpointHeldBeforeAgentStarted() throws Exception {
        endpoint.held = 1;
        for (int i = 0; i < FakeOrigin.CHUNKS; i++) {
            endpoint.staged.put(i, FakeOrigin.chunk(1, i));
        }
        keeper.refresh();
        keeper.readBack();
        assertEquals(FakeOrigin.CHUNKS, keeper.set("m", 1).orElseThrow().present());
        assertEquals(0, origin.given);
    }

    @Test
    void shouldLeaveLinkToRequestsOnlyWhenEndpointGetsSome() {
        keeper.refresh();
        assertFalse(keeper.serves(), "it holds nothing, so the link is free for weights");
        endpoint.held = 1;
        keeper.refresh();
        assertTrue(keeper.serves());
    }
}
