package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * From whom an agent asks each chunk. For each chunk the agents are ranked by turns, so that all of them agree without a
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

    private List<Agent> of(String region) {
        return agents.stream()
                .filter(agent -> agent.region().equals(region))
                .sorted(Comparator.comparing(Agent::address))
                .toList();
    }

    /** A region's agents in the order in which they take up a chunk. */
    private List<Agent> ranked(int index, String region) {
        List<Agent> all = new ArrayList<>(of(region));
        Collections.rotate(all, -(index % all.size()));
        return all;
    }

    /** The agent that fetches a chunk from the origin. */
    private Agent first(int index) {
        List<String> regions =
                agents.stream().map(Agent::region).distinct().sorted().toList();
        // The second part shifts the pairing after each round of a region's agents, so that all of them get their turn.
        int turn = index + index / of(self.region()).size();
        return ranked(index, regions.get(turn % regions.size())).getFirst();
    }

    /**
     * The agents to ask for a chunk, best first; after the last comes the origin.
     *
     * @param index which chunk
     * @return the agents, possibly none
     */
    public List<String> of(int index) {
        List<String> sources = new ArrayList<>();
        for (Agent agent : ranked(index, self.region())) {
            if (agent.address().equals(self.address())) {
                break;
            }
            sources.add(agent.address());
        }
        Agent first = first(index);
        if (!first.region().equals(self.region())) {
            sources.add(first.address());
        }
        return sources;
    }
}
