package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.state.Digest;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * Which of some agents leads for which chunk: rendezvous hashing with bounded loads. For each chunk all agents are ranked
 * by a digest of both; the one that ranks highest leads, unless it leads for its even part of the chunks already. The
 * result depends on the agents alone, not on who works it out.
 */
final class ChunkLeads {

    private ChunkLeads() {}

    /**
     * Gives each chunk the agent that leads for it.
     *
     * @param agents the agents, at least one
     * @param chunks the numbers of the chunks
     * @return the lead of each
     */
    static Map<Integer, Agent> spread(List<Agent> agents, List<Integer> chunks) {
        int part = Math.ceilDiv(chunks.size(), agents.size());
        Map<Agent, Integer> loads = new HashMap<>();
        Map<Integer, Agent> leads = new HashMap<>();
        for (int index : chunks) {
            Agent lead = byRank(agents, index).stream()
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
     * @param agents the agents
     * @param lead the one that leads
     * @param index the chunk's number
     * @return the agents in that order
     */
    static List<Agent> leadFirst(List<Agent> agents, Agent lead, int index) {
        List<Agent> all = new ArrayList<>(byRank(agents, index));
        all.remove(lead);
        all.addFirst(lead);
        return all;
    }

    private static List<Agent> byRank(List<Agent> agents, int index) {
        Map<Agent, String> ranks = new HashMap<>();
        agents.forEach(agent -> ranks.put(agent, Digest.of(agent.address() + "/" + index)));
        return agents.stream().sorted(Comparator.comparing(ranks::get)).toList();
    }
}
