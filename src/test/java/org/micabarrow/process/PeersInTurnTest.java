package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeersInTurnTest {

    private static final List<String> PEERS = List.of("a", "b", "c");

    private final PeersInTurn peers = new PeersInTurn();
    private final List<String> asked = new ArrayList<>();

    private void ask(List<String> all, Set<String> gone) {
        peers.ask(all, peer -> {
            asked.add(peer);
            return !gone.contains(peer);
        });
    }

    @Test
    void shouldAskOnePeerARoundWhenAllAnswer() {
        ask(PEERS, Set.of());
        ask(PEERS, Set.of());
        ask(PEERS, Set.of());
        assertEquals(List.of("a", "b", "c"), asked);
    }

    @Test
    void shouldAskNextPeerWhenFirstIsGone() {
        ask(PEERS, Set.of("a"));
        assertEquals(List.of("a", "b"), asked);
    }

    @Test
    void shouldAskTwoPeersARoundWhenNoneAnswers() {
        ask(PEERS, Set.of("a", "b", "c"));
        ask(PEERS, Set.of("a", "b", "c"));
        assertEquals(List.of("a", "b", "c", "a"), asked);
    }

    @Test
    void shouldAskOnlyPeerOnce() {
        ask(List.of("a"), Set.of("a"));
        assertEquals(List.of("a"), asked);
    }

    @Test
    void shouldAskNobodyWhenThereIsNoPeer() {
        ask(List.of(), Set.of());
        assertEquals(List.of(), asked);
    }
}
