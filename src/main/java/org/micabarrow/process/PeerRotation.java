package org.micabarrow.process;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Selects the peers to query while the store is unavailable, round-robin, until one answers. Thread-safe. */
final class PeerRotation {

    /** The number of peers queried in place of one read of the store: one of them may be unavailable. */
    private static final int PEERS_PER_ROUND = 2;

    private final AtomicInteger turn = new AtomicInteger();

    /**
     * Queries the next peers until one answers.
     *
     * @param peers all peers
     * @param query queries one peer and returns whether it answered
     */
    void query(List<String> peers, Predicate<String> query) {
        Objects.requireNonNull(query, "query is null");
        for (int queried = 0; queried < Math.min(PEERS_PER_ROUND, peers.size()); queried++) {
            String peer = peers.get(Math.floorMod(turn.getAndIncrement(), peers.size()));
            if (query.test(peer)) {
                return;
            }
        }
    }
}
