package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.micabarrow.state.Digest;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Which of some agents leads for which chunk: rendezvous hashing with bounded loads. For each chunk all agents are ranked
 * by a digest of both; the one that ranks highest leads, unless it leads for its even part of the chunks already. The
 * result depends on the agents alone, not on who works it out. Immutable.
 */
final class ChunkLeads {

    private final List<Agent> agents;

    /** For each chunk, the agents as they rank for it. */
    private final List<List<Agent>> ranked;

    private ChunkLeads(List<Agent> agents, List<List<Agent>> ranked) {
        this.agents = agents;
        this.ranked = ranked;
    }

    // -- making

    /**
     * Ranks agents for each chunk.
     *
     * @param agents the agents
     * @param chunks how many chunks there are
     * @return the ranking
     */
    static ChunkLeads of(List<Agent> agents, int chunks) {
        return new ChunkLeads(
                agents,
                IntStream.range(0, chunks)
                        .mapToObj(index -> byRank(agents, index))
                        .toList());
    }

    private static List<Agent> byRank(List<Agent> agents, int index) {
        Map<Agent, String> ranks = new HashMap<>();
        agents.forEach(agent -> ranks.put(agent, Digest.of(agent.address() + "/" + index)));
        return agents.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }

    /**
     * The same ranking without the agents of other regions.
     *
     * @param region the region
     * @return the ranking of its agents
     */
    ChunkLeads within(String region) {
        return new ChunkLeads(
                in(region, agents),
                ranked.stream().map(some -> in(region, some)).toList());
    }

    private static List<Agent> in(String region, List<Agent> agents) {
        return agents.stream().filter(agent -> agent.region().equals(region)).toList();
    }

    // -- questions

    /**
     * The agents that are ranked.
     *
     * @return the agents, in the order in which they were given
     */
    List<Agent> agents() {
        return agents;
    }

    /**
     * Gives each of some chunks the agent that leads for it; there is at least one agent.
     *
     * @param chunks the numbers of the chunks
     * @return the lead of each
     */
    Map<Integer, Agent> spread(List<Integer> chunks) {
        int part = Math.ceilDiv(chunks.size(), agents.size());
        Map<Agent, Integer> loads = new HashMap<>();
        Map<Integer, Agent> leads = new HashMap<>();
        for (int index : chunks) {
            Agent lead = ranked.get(index).stream()
                    .filter(agent -> loads.getOrDefault(agent, 0) < part)
                    .findFirst()
                    .orElseThrow();
            loads.merge(lead, 1, Integer::sum);
            leads.put(index, lead);
        }
        return leads;
    }

    /**
     * The order in which agents take up a chunk: its lead, then the others as they rank for it.
     *
     * @param lead the one that leads
     * @param index the chunk's number
     * @return the agents in that order
     */
    List<Agent> leadFirst(Agent lead, int index) {
        List<Agent> all = new ArrayList<>(ranked.get(index));
        all.remove(lead);
        all.addFirst(lead);
        return all;
    }
}
