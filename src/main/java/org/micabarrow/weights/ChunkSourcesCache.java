package org.micabarrow.weights;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.micabarrow.weights.ChunkSources.Agent;

/**
 * The chunk sources of one agent, computed from the agents currently known and cached until these change. Thread-safe.
 */
public final class ChunkSourcesCache implements IntFunction<ChunkSources> {

    private final Agent self;
    private final Supplier<List<Agent>> agents;
    private List<Agent> lastAgents = List.of();
    private Set<Agent> cachedAgents = Set.of();
    private Optional<ChunkSources> cached = Optional.empty();

    /**
     * Creates an empty cache.
     *
     * @param self the agent
     * @param agents supplies all agents currently known, in any order; the same unmodifiable list as before if nothing
     *     has changed, else the agents are compared each time
     */
    ChunkSourcesCache(Agent self, Supplier<List<Agent>> agents) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.agents = Objects.requireNonNull(agents, "agents is null");
    }

    /**
     * The sources for the agents currently known. Called many times a second while a version is fetched, so agents are
     * compared only when their supplier returns another list.
     *
     * @param chunks the number of chunks of a version
     * @return the sources
     */
    @Override
    public synchronized ChunkSources apply(int chunks) {
        List<Agent> now = agents.get();
        boolean sameChunks =
                cached.filter(sources -> sources.chunks() == chunks).isPresent();
        if (now == lastAgents && sameChunks) {
            return cached.orElseThrow();
        }
        lastAgents = now;
        Set<Agent> currentAgents = Set.copyOf(now);
        if (!sameChunks || !currentAgents.equals(cachedAgents)) {
            cachedAgents = currentAgents;
            cached = Optional.of(ChunkSources.of(self, now, chunks));
        }
        return cached.orElseThrow();
    }

    /**
     * The agents to query for data that any agent may have: all others of this region first, then one of each other
     * region. Only one per region, since each may take long to respond that it has nothing.
     *
     * @return their addresses
     */
    public List<String> sameRegionFirst() {
        List<Agent> others = agents.get().stream()
                .filter(agent -> !agent.address().equals(self.address()))
                .toList();
        Stream<Agent> sameRegion =
                others.stream().filter(agent -> agent.region().equals(self.region()));
        Set<String> regions = new HashSet<>(Set.of(self.region()));
        List<Agent> firstOfOtherRegions =
                others.stream().filter(agent -> regions.add(agent.region())).toList();
        return Stream.concat(sameRegion, firstOfOtherRegions.stream())
                .map(Agent::address)
                .toList();
    }
}
