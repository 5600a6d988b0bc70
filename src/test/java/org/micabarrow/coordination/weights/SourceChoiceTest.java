package org.micabarrow.coordination.weights;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.Samples;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Replica;

class SourceChoiceTest {

    private static final Source PARENT = peer("parent");
    private static final Source TAIL = peer("tail");
    private static final Source STORE = new Source.Store();
    private static final long NOW = 1_000_000;

    private final SourceChoice choice = SourceChoice.of(List.of(PARENT, TAIL, STORE), List.of(TAIL, STORE, PARENT));

    private static Source peer(String name) {
        return new Source.Peer(new Replica(name, "r", "h", name));
    }

    @Test
    void shouldAskSourcesInOrderAndGoBackWhenPenaltyHasPassed() {
        choice.failed(PARENT, false, NOW);
        assertEquals(TAIL, choice.next(NOW));
        assertFalse(choice.betterThan(TAIL, NOW));
        assertTrue(choice.betterThan(TAIL, NOW + 500));
        assertEquals(PARENT, choice.next(NOW + 500));
    }

    @Test
    void shouldHoldFailuresAgainstSourceForLongerEachTime() {
        choice.failed(PARENT, false, NOW);
        choice.failed(PARENT, false, NOW + 500);
        assertEquals(TAIL, choice.next(NOW + 1000));
        choice.delivered(PARENT);
        assertEquals(PARENT, choice.next(NOW + 1000));
    }

    @Test
    void shouldNotGoBackSoonToSourceThatStalled() {
        choice.failed(PARENT, true, NOW);
        assertFalse(choice.betterThan(TAIL, NOW + 5_000));
    }

    @Test
    void shouldNotWaitForLongWhenSomethingIsHeldAgainstAll() {
        for (Source source : List.of(PARENT, TAIL, STORE)) {
            choice.failed(source, true, NOW);
        }
        assertTrue(choice.waitMillis(NOW) <= 100, "wait: " + choice.waitMillis(NOW));
    }

    // -- the plan's order

    @Test
    void shouldFollowChainThenOtherChainsThenStoreThenOrigin() {
        ActivePlacement placed =
                Samples.assistantOn(6).activePlacement("assistant").orElseThrow();
        List<Replica> chain = placed.chains().getFirst();
        List<Source> order = Source.order(placed, chain.get(2).instance());
        assertEquals(new Source.Peer(chain.get(1)), order.get(0));
        assertEquals(new Source.Peer(chain.get(0)), order.get(1));
        assertEquals(List.of(STORE, new Source.Origin()), order.subList(order.size() - 2, order.size()));
        assertEquals(
                new Source.Origin(),
                Source.order(placed, chain.get(0).instance()).getFirst());
    }

    @Test
    void shouldTurnToIdleLinksFirstAfterStall() {
        ActivePlacement placed =
                Samples.assistantOn(6).activePlacement("assistant").orElseThrow();
        List<Replica> chain = placed.chains().getFirst();
        List<Source> order = Source.orderAfterStall(placed, chain.get(2).instance());
        assertEquals(new Source.Peer(placed.chains().get(1).getLast()), order.get(0));
        assertEquals(new Source.Peer(chain.get(1)), order.get(1));
    }
}
