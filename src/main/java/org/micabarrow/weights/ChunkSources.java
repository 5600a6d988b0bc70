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

    /** This region's agents in the order in which they take up a chunk; the agent that fetches it from the origin leads. */
    private List<Agent> ranked(int index) {
        List<Agent> all = new ArrayList<>(of(self.region()));
        int lead = all.indexOf(first(index));
        Collections.rotate(all, lead >= 0 ? -lead : -(index % all.size()));
        return all;
    }

    /**
     * The agent that fetches a chunk from the origin: all agents are gone through region by region in turn, so that each
     * gets its part. This must not depend on which agent asks.
     */
    private Agent first(int index) {
        List<String> regions =
                agents.stream().map(Agent::region).distinct().sorted().toList();
        String region = regions.get(index % regions.size());
        List<Agent> all = of(region);
        return all.get(index / regions.size() % all.size());
    }

    /**
     * The agents to ask for a chunk, best first; after the last comes the origin.
     *
     * @param index which chunk
     * @return the agents, possibly none
     */
    public List<String> of(int index) {
        List<String> sources = new ArrayList<>();
        for (Agent agent : ranked(index)) {
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

    /**
     * The other agents of this one's region.
     *
     * @return their addresses
     */
    public List<String> near() {
        return of(self.region()).stream()
                .map(Agent::address)
                .filter(address -> !address.equals(self.address()))
                .toList();
    }
}
