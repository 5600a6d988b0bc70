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
 * From whom an agent asks each chunk of a version. All agents work the same out without a word: one agent of all fetches
 * a chunk from the origin, one of each other region fetches it from that one, and the others of a region from the one
 * there. So each chunk leaves the origin once and crosses into each region once. Every agent leads for an even part of the
 * chunks, however uneven the regions are, and an agent that comes or goes changes little for the chunks of the others
 * ({@link ChunkLeads}). An agent whose better-ranked sources fail falls back towards the origin.
 */
public final class ChunkSources {

    private final Agent self;
    private final List<Agent> region;
    private final List<List<String>> sources;

    /**
     * An agent.
     *
     * @param address the host and port where it hands out chunks
     * @param region its region
     */
    public record Agent(String address, String region) {

        /**
         * The agents beside the endpoints of a service. Those of endpoints that leave are left out: their instances may
         * go at any moment, with chunks that nobody else has.
         *
         * @param endpoints the service's endpoints
         * @param port the port at which all agents listen
         * @param regions the region of each data hall
         * @return the agents, each once
         */
        public static List<Agent> beside(List<EndpointRegistration> endpoints, int port, Map<String, String> regions) {
            return endpoints.stream()
                    .filter(endpoint -> !endpoint.leaving())
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

    // -- making

    /**
     * Works out the sources of one agent.
     *
     * @param self the agent
     * @param agents all agents, this one included or not
     * @param chunks how many chunks a version has
     * @return the sources
     */
    public static ChunkSources of(Agent self, List<Agent> agents, int chunks) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(agents, "agents is null");
        List<Integer> every = IntStream.range(0, chunks).boxed().toList();
        ChunkLeads all = ChunkLeads.of(with(self, agents), chunks);
        ChunkLeads region = all.within(self.region());
        Map<Integer, Agent> originLeads = all.spread(every);
        Map<Integer, Agent> regionLeads = regionLeads(self, region, originLeads, every);
        List<List<String>> sources = every.stream()
                .map(index -> {
                    List<Agent> order = region.leadFirst(regionLeads.get(index), index);
                    return sources(self, order, originLeads.get(index));
                })
                .toList();
        return new ChunkSources(self, region.agents(), sources);
    }

    /** All agents, with this one in its own region, wherever it is listed. */
    private static List<Agent> with(Agent self, List<Agent> agents) {
        Stream<Agent> others = agents.stream().filter(agent -> !agent.address().equals(self.address()));
        return Stream.concat(others, Stream.of(self)).toList();
    }

    /** Who leads for each chunk in a region: whoever leads for all if it is there; the other chunks are spread anew. */
    private static Map<Integer, Agent> regionLeads(
            Agent self, ChunkLeads region, Map<Integer, Agent> originLeads, List<Integer> chunks) {
        List<Integer> foreign = chunks.stream()
                .filter(index -> !originLeads.get(index).region().equals(self.region()))
                .toList();
        Map<Integer, Agent> leads = new HashMap<>(originLeads);
        leads.putAll(region.spread(foreign));
        return leads;
    }

    /** The agents that take up a chunk before this one, and the one that fetches it for all if that is elsewhere. */
    private static List<String> sources(Agent self, List<Agent> order, Agent originLead) {
        List<String> sources = new ArrayList<>();
        order.stream()
                .map(Agent::address)
                .takeWhile(address -> !address.equals(self.address()))
                .forEach(sources::add);
        if (!originLead.region().equals(self.region())) {
            sources.add(originLead.address());
        }
        return List.copyOf(sources);
    }

    // -- following the agents that are seen

    /**
     * Works out the sources of one agent, and keeps them for as long as the agents stay the same.
     *
     * @param self the agent
     * @param agents tells all agents as seen now, in any order
     * @return gives the sources for a number of chunks
     */
    public static FollowedSources following(Agent self, Supplier<List<Agent>> agents) {
        return new FollowedSources(self, agents);
    }

    // -- questions

    /** How many chunks a version has. */
    int chunks() {
        return sources.size();
    }

    /**
     * The agents to ask for a chunk, best first; after the last comes the origin.
     *
     * @param index which chunk
     * @return the agents, possibly none
     */
    public List<String> of(int index) {
        return sources.get(index);
    }

    /**
     * The other agents of this one's region.
     *
     * @return their addresses
     */
    public List<String> near() {
        return region.stream()
                .map(Agent::address)
                .filter(address -> !address.equals(self.address()))
                .toList();
    }
}
