package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.micabarrow.state.Digest;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Assigns each chunk a leader among agents: rendezvous hashing with bounded loads. For each chunk, all agents are
 * ranked by a digest of agent and chunk. The highest-ranked agent leads, unless it already leads its even share of the
 * chunks. The result depends on the agents alone, so every agent computes the same one. Immutable.
 */
final class ChunkLeaders {

    private final List<Agent> agents;

    /** The agents in rank order, for each chunk. */
    private final List<List<Agent>> rankings;

    private ChunkLeaders(List<Agent> agents, List<List<Agent>> rankings) {
        this.agents = agents;
        this.rankings = rankings;
    }

    // -- construction

    /**
     * Ranks agents for each chunk.
     *
     * @param agents the agents
     * @param chunks the number of chunks
     * @return the ranking
     */
    static ChunkLeaders of(List<Agent> agents, int chunks) {
        return new ChunkLeaders(
                agents,
                IntStream.range(0, chunks)
                        .mapToObj(index -> rankedFor(agents, index))
                        .toList());
    }

    private static List<Agent> rankedFor(List<Agent> agents, int index) {
        return agents.stream()
                .map(agent -> new Ranked(Digest.rank(agent.address() + "/" + index), agent))
                .sorted((a, b) -> Long.compareUnsigned(a.rank(), b.rank()))
                .map(Ranked::agent)
                .toList();
    }

    /** An agent, and the beginning of its digest as an unsigned number. */
    private record Ranked(long rank, Agent agent) {}

    /**
     * Returns the same ranking restricted to the agents of one region.
     *
     * @param region the region
     * @return the ranking of its agents
     */
    ChunkLeaders within(String region) {
        return new ChunkLeaders(
                ofRegion(region, agents),
                rankings.stream().map(ranking -> ofRegion(region, ranking)).toList());
    }

    private static List<Agent> ofRegion(String region, List<Agent> agents) {
        return agents.stream().filter(agent -> agent.region().equals(region)).toList();
    }

    // -- queries

    /**
     * The ranked agents.
     *
     * @return the agents, in the order in which they were given
     */
    List<Agent> agents() {
        return agents;
    }

    /**
     * Assigns a leader to each of some chunks. There must be at least one agent.
     *
     * @param chunks the indexes of the chunks
     * @return the leader of each chunk
     */
    Map<Integer, Agent> assignLeaders(List<Integer> chunks) {
        int maxPerAgent = Math.ceilDiv(chunks.size(), agents.size());
        Map<Agent, Integer> loads = new HashMap<>();
        Map<Integer, Agent> leaders = new HashMap<>();
        for (int index : chunks) {
            Agent leader = rankings.get(index).stream()
                    .filter(agent -> loads.getOrDefault(agent, 0) < maxPerAgent)
                    .findFirst()
                    .orElseThrow();
            loads.merge(leader, 1, Integer::sum);
            leaders.put(index, leader);
        }
        return leaders;
    }

    /**
     * The order in which agents obtain a chunk: its leader, then the others by rank.
     *
     * @param leader the chunk's leader
     * @param index the chunk's index
     * @return the agents in that order
     */
    List<Agent> leaderFirst(Agent leader, int index) {
        List<Agent> ordered = new ArrayList<>(rankings.get(index));
        ordered.remove(leader);
        ordered.addFirst(leader);
        return ordered;
    }
}
