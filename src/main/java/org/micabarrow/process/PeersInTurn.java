package org.micabarrow.process;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Whom to ask while the store does not answer: the next peers in turn, until one answers. Safe for several threads. */
final class PeersInTurn {

    /** How many peers are asked in place of one read of the store: one of them may be gone. */
    private static final int PEERS_A_ROUND = 2;

    private final AtomicInteger turn = new AtomicInteger();

    /**
     * Asks some peers.
     *
     * @param peers all that there are
     * @param answers asks one, and tells whether it answered
     */
    void ask(List<String> peers, Predicate<String> answers) {
        Objects.requireNonNull(answers, "answers is null");
        for (int asked = 0; asked < Math.min(PEERS_A_ROUND, peers.size()); asked++) {
            String peer = peers.get(Math.floorMod(turn.getAndIncrement(), peers.size()));
            if (answers.test(peer)) {
                return;
            }
        }
    }
}
