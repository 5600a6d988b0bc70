package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * From whom an agent asks each chunk. For each chunk the agents are ranked by a hash, so that all of them agree without a
 * word: the first of all fetches it from the origin, the first of each region fetches it from that one, and the others
 * of a region from the first there. So each chunk leaves the origin once and crosses into each region once, and every
 * agent's link carries an even part. An agent whose better-ranked sources fail falls back towards the origin.
 */
public final class ChunkSources {

    private final Agent self;
    private final List<Agent> agents;

    /**
     * An agent.
     *
     * @param address the host and port where it hands out chunks
     * @param region its region
     */
    public record Agent(String address, String region) {}

    /**
     * Makes the sources of one agent.
     *
     * @param self the agent
     * @param agents all agents, this one included or not
     */
    public ChunkSources(Agent self, List<Agent> agents) {
        this.self = Objects.requireNonNull(self, "self is null");
        List<Agent> all = new ArrayList<>(agents);
        if (all.stream().noneMatch(one -> one.address().equals(self.address()))) {
            all.add(self);
        }
        this.agents = List.copyOf(all);
    }

    private static int rank(int index, Agent agent) {
        // Murmur's finalizer over both parts: neighbouring indexes must give unrelated orders.
        int mixed = agent.address().hashCode() * 31 + index * 0x9E3779B9;
        mixed = (mixed ^ mixed >>> 16) * 0x85EBCA6B;
        mixed = (mixed ^ mixed >>> 13) * 0xC2B2AE35;
        return mixed ^ mixed >>> 16;
    }

    private List<Agent> ranked(int index, List<Agent> some) {
        return some.stream()
                .sorted(Comparator.<Agent>comparingInt(one -> rank(index, one)).thenComparing(Agent::address))
                .toList();
    }

    /**
     * The agents to ask for a chunk, best first; after the last comes the origin.
     *
     * @param index which chunk
     * @return the agents, possibly none
     */
    public List<String> of(int index) {
        List<Agent> region = ranked(
                index,
                agents.stream()
                        .filter(one -> one.region().equals(self.region()))
                        .toList());
        List<String> sources = new ArrayList<>();
        for (Agent agent : region) {
            if (agent.address().equals(self.address())) {
                break;
            }
            sources.add(agent.address());
        }
        first(index)
                .filter(agent -> !agent.equals(self) && !sources.contains(agent.address()))
                .ifPresent(agent -> sources.add(agent.address()));
        return sources;
    }

    private Optional<Agent> first(int index) {
        return ranked(index, agents).stream().findFirst();
    }

    /**
     * The order in which this agent fetches chunks: first those for which others wait.
     *
     * @param count how many chunks there are
     * @return their indexes
     */
    public List<Integer> order(int count) {
        return IntStream.range(0, count)
                .boxed()
                .sorted(Comparator.comparingInt(this::depth))
                .toList();
    }

    /** 0 if all wait for this agent's chunk, 1 if its region does, 2 if at most lower-ranked agents do. */
    private int depth(int index) {
        if (first(index).filter(self::equals).isPresent()) {
            return 0;
        }
        List<String> sources = of(index);
        return sources.size() == 1
                        && agents.stream()
                                .noneMatch(one -> one.address().equals(sources.getFirst())
                                        && one.region().equals(self.region()))
                ? 1
                : 2;
    }
}
