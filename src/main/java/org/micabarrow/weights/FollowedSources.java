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
 * The sources of one agent among the agents that are seen now. What was worked out last is kept for as long as the agents
 * stay the same. Safe for any number of threads.
 */
public final class FollowedSources implements IntFunction<ChunkSources> {

    private final Agent self;
    private final Supplier<List<Agent>> agents;
    private Set<Agent> seen = Set.of();
    private Optional<ChunkSources> last = Optional.empty();

    /**
     * Begins with nothing worked out.
     *
     * @param self the agent
     * @param agents tells all agents as seen now, in any order
     */
    FollowedSources(Agent self, Supplier<List<Agent>> agents) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.agents = Objects.requireNonNull(agents, "agents is null");
    }

    /**
     * The sources as seen now.
     *
     * @param chunks how many chunks a version has
     * @return the sources
     */
    @Override
    public synchronized ChunkSources apply(int chunks) {
        List<Agent> now = agents.get();
        Set<Agent> which = Set.copyOf(now);
        boolean same =
                which.equals(seen) && last.filter(one -> one.chunks() == chunks).isPresent();
        if (!same) {
            seen = which;
            last = Optional.of(ChunkSources.of(self, now, chunks));
        }
        return last.orElseThrow();
    }

    /**
     * Whom to ask for what any agent may have: all others of this one's region, and then one of each other region. No more
     * of those, since each may take its time to say no.
     *
     * @return their addresses
     */
    public List<String> nearFirst() {
        List<Agent> others = agents.get().stream()
                .filter(agent -> !agent.address().equals(self.address()))
                .toList();
        Stream<Agent> near = others.stream().filter(agent -> agent.region().equals(self.region()));
        Set<String> regions = new HashSet<>(Set.of(self.region()));
        List<Agent> far =
                others.stream().filter(agent -> regions.add(agent.region())).toList();
        return Stream.concat(near, far.stream()).map(Agent::address).toList();
    }
}
