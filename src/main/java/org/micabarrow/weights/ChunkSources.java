package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.micabarrow.routing.EndpointRegistration;

/**
 * The agents from which one agent fetches each chunk of a version. All agents compute the same assignment without
 * communicating: one agent of all fetches a chunk from the origin, one agent of each other region fetches it from that
 * one, and the other agents of a region fetch it within the region. So each chunk leaves the origin once and enters
 * each region once. Every agent leads an even share of the chunks, however uneven the regions are, and an agent that
 * joins or goes changes few assignments of the others ({@link ChunkLeaders}). If the preferred sources of an agent
 * fail, it falls back towards the origin.
 */
public final class ChunkSources {

    private final Agent self;
    private final List<Agent> region;
    private final List<List<String>> sources;

    /**
     * An agent.
     *
     * @param address the host and port where it serves chunks
     * @param region its region
     */
    public record Agent(String address, String region) {

        /**
         * The agents beside the endpoints of a service. Agents of draining endpoints are left out: their instances may
         * disappear at any moment, with chunks that no other agent has.
         *
         * @param endpoints the service's endpoints
         * @param port the port on which all agents listen
         * @param regions the region of each data hall
         * @return the agents, without duplicates
         */
        public static List<Agent> besideEndpoints(
                List<EndpointRegistration> endpoints, int port, Map<String, String> regions) {
            return endpoints.stream()
                    .filter(endpoint -> !endpoint.draining())
                    .map(endpoint -> new Agent(
                            endpoint.instanceHost() + ":" + port, regions.getOrDefault(endpoint.dataHall(), "")))
                    .distinct()
                    .toList();
        }
    }

    private ChunkSources(Agent self, List<Agent> region, List<List<String>> sources) {
        this.self = self;
        this.region = region;
        this.sources = sources;
    }

    // -- construction

    /**
     * Computes the sources of one agent.
     *
     * @param self the agent
     * @param agents all agents; may include {@code self}
     * @param chunks the number of chunks of a version
     * @return the sources
     */
    public static ChunkSources of(Agent self, List<Agent> agents, int chunks) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(agents, "agents is null");
        List<Integer> indexes = IntStream.range(0, chunks).boxed().toList();
        ChunkLeaders all = ChunkLeaders.of(withSelf(self, agents), chunks);
        ChunkLeaders region = all.within(self.region());
        Map<Integer, Agent> originLeaders = all.assignLeaders(indexes);
        Map<Integer, Agent> regionLeaders = regionLeaders(self, region, originLeaders, indexes);
        List<List<String>> sources = indexes.stream()
                .map(index -> {
                    List<Agent> order = region.leaderFirst(regionLeaders.get(index), index);
                    return sources(self, order, originLeaders.get(index));
                })
                .toList();
        return new ChunkSources(self, region.agents(), sources);
    }

    /**
     * All agents including this one, which is always listed under its own region, whatever region the input gives for
     * it.
     */
    private static List<Agent> withSelf(Agent self, List<Agent> agents) {
        Stream<Agent> others = agents.stream().filter(agent -> !agent.address().equals(self.address()));
        return Stream.concat(others, Stream.of(self)).toList();
    }

    /**
     * The leader of each chunk in this region: the leader among all agents if it is in the region; all other chunks are
     * assigned to agents of the region.
     */
    private static Map<Integer, Agent> regionLeaders(
            Agent self, ChunkLeaders region, Map<Integer, Agent> originLeaders, List<Integer> chunks) {
        List<Integer> otherChunks = chunks.stream()
                .filter(index -> !originLeaders.get(index).region().equals(self.region()))
                .toList();
        Map<Integer, Agent> leaders = new HashMap<>(originLeaders);
        leaders.putAll(region.assignLeaders(otherChunks));
        return leaders;
    }

    /**
     * The agents that obtain a chunk before this one, followed by the leader among all agents if it is in another
     * region.
     */
    private static List<String> sources(Agent self, List<Agent> order, Agent originLeader) {
        List<String> sources = new ArrayList<>();
        order.stream()
                .map(Agent::address)
                .takeWhile(address -> !address.equals(self.address()))
                .forEach(sources::add);
        if (!originLeader.region().equals(self.region())) {
            sources.add(originLeader.address());
        }
        return List.copyOf(sources);
    }

    // -- tracking the known agents

    /**
     * Creates a cache that computes the sources of one agent and recomputes them when the set of agents changes.
     *
     * @param self the agent
     * @param agents supplies all agents currently known, in any order
     * @return the sources by number of chunks
     */
    public static ChunkSourcesCache cached(Agent self, Supplier<List<Agent>> agents) {
        return new ChunkSourcesCache(self, agents);
    }

    // -- queries

    /** The number of chunks of a version. */
    int chunks() {
        return sources.size();
    }

    /**
     * The agents from which to fetch a chunk, best first. The origin comes after the last one.
     *
     * @param index the chunk's index
     * @return the agents, possibly none
     */
    public List<String> of(int index) {
        return sources.get(index);
    }

    /**
     * The other agents of this agent's region.
     *
     * @return their addresses
     */
    public List<String> sameRegion() {
        return region.stream()
                .map(Agent::address)
                .filter(address -> !address.equals(self.address()))
                .toList();
    }
}
