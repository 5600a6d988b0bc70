package org.micabarrow.coordination.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;

/** Where chunks can come from. */
public sealed interface Source {

    /** How many replicas of its own chain, and how many of each other chain, an instance asks. */
    int PEERS_ASKED = 4;

    /**
     * The sources that an instance tries for a placement's weights, in order. All of them follow from the confirmed
     * plan, so nobody assigns them.
     *
     * <p>The head of a chain begins at the origin. Every other instance begins at the one before it, then goes further
     * up its chain, then to instances of other chains that stand nearer to the origin than itself, then to the store,
     * and last to the origin.
     *
     * @param placed the placement
     * @param instance the instance
     * @return the sources, none if the instance carries no replica
     */
    static List<Source> order(FoldedState.ActivePlacement placed, String instance) {
        Objects.requireNonNull(placed, "placed is null");
        for (List<Replica> chain : placed.chains()) {
            int position = positionIn(chain, instance);
            if (position >= 0) {
                return orderAt(placed, chain, position);
            }
        }
        return List.of();
    }

    /**
     * The sources that an instance tries once its source has stalled, in order. A stalled instance may be alive and
     * still draw on the one before it, so that one's link is busy; the last of another chain has a link that nothing
     * else uses.
     *
     * @param placed the placement
     * @param instance the instance
     * @return the same sources as in {@link #order}, with the last of the other chains in front
     */
    static List<Source> orderAfterStall(FoldedState.ActivePlacement placed, String instance) {
        List<Source> idle = new ArrayList<>();
        placed.chains().stream()
                .filter(chain -> positionIn(chain, instance) < 0)
                .forEach(chain -> idle.add(new Peer(chain.getLast())));
        order(placed, instance).stream()
                .filter(source -> !idle.contains(source))
                .forEach(idle::add);
        return idle;
    }

    /**
     * Whether an instance is the head of a chain.
     *
     * @param placed the placement
     * @param instance the instance
     * @return true if the plan feeds it from the origin
     */
    static boolean isHead(FoldedState.ActivePlacement placed, String instance) {
        return placed.chains().stream()
                .anyMatch(chain -> chain.getFirst().instance().equals(instance));
    }

    private static List<Source> orderAt(FoldedState.ActivePlacement placed, List<Replica> chain, int position) {
        List<Source> sources = new ArrayList<>();
        if (position == 0) {
            sources.add(new Origin());
        }
        for (int before = position - 1; before >= Math.max(0, position - PEERS_ASKED); before--) {
            sources.add(new Peer(chain.get(before)));
        }
        placed.chains().stream().filter(other -> other != chain).forEach(other -> {
            int from = Math.min(position, other.size()) - 1;
            for (int at = from; at >= Math.max(0, from - PEERS_ASKED / 2); at--) {
                sources.add(new Peer(other.get(at)));
            }
        });
        sources.add(new Store());
        if (position > 0) {
            sources.add(new Origin());
        }
        return sources;
    }

    private static int positionIn(List<Replica> chain, String instance) {
        for (int position = 0; position < chain.size(); position++) {
            if (chain.get(position).instance().equals(instance)) {
                return position;
            }
        }
        return -1;
    }

    /**
     * Another instance's agent.
     *
     * @param replica the instance
     */
    record Peer(Replica replica) implements Source {

        @Override
        public String toString() {
            return replica.instance();
        }
    }

    /** The platform's rate-limited weight store. */
    record Store() implements Source {

        @Override
        public String toString() {
            return "store";
        }
    }

    /** The origin of weights. */
    record Origin() implements Source {

        @Override
        public String toString() {
            return "origin";
        }
    }
}
