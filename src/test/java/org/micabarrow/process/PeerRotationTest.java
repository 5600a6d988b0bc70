package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerRotationTest {

    private static final List<String> PEERS = List.of("a", "b", "c");

    private final PeerRotation peers = new PeerRotation();
    private final List<String> queried = new ArrayList<>();

    private void query(List<String> all, Set<String> unavailable) {
        peers.query(all, peer -> {
            queried.add(peer);
            return !unavailable.contains(peer);
        });
    }

    @Test
    void shouldQueryOnePeerPerRoundWhenAllAnswer() {
        query(PEERS, Set.of());
        query(PEERS, Set.of());
        query(PEERS, Set.of());
        assertEquals(List.of("a", "b", "c"), queried);
    }

    @Test
    void shouldQueryNextPeerWhenFirstIsUnavailable() {
        query(PEERS, Set.of("a"));
        assertEquals(List.of("a", "b"), queried);
    }

    @Test
    void shouldQueryTwoPeersPerRoundWhenNoneAnswers() {
        query(PEERS, Set.of("a", "b", "c"));
        query(PEERS, Set.of("a", "b", "c"));
        assertEquals(List.of("a", "b", "c", "a"), queried);
    }

    @Test
    void shouldQueryOnlyPeerOnce() {
        query(List.of("a"), Set.of("a"));
        assertEquals(List.of("a"), queried);
    }

    @Test
    void shouldQueryNobodyWhenThereIsNoPeer() {
        query(List.of(), Set.of());
        assertEquals(List.of(), queried);
    }
}
