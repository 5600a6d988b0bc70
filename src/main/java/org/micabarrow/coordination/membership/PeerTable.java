package org.micabarrow.coordination.membership;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Replica;

/**
 * What an entry knows of the agents that it uses, from their own status and from the platform's list. An agent that has been silent
 * for too long gets no requests; one that either source calls leaving gets none either.
 *
 * <p>Changed on the control thread only; what it publishes may be read by any thread.
 */
public final class PeerTable {

    private final String entry;
    private final int perPlacement;
    private final long unreachableMillis;
    private final InstantSource clock;
    private final Map<String, PeerView> peers = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private Set<String> leaving = Set.of();
    private volatile Map<String, PeerView> published = Map.of();
    private volatile List<Instance> instances = List.of();
    private long rotationMillis;
    private volatile long listedMillis;

    /**
     * Makes an empty table.
     *
     * @param entry this entry's instance
     * @param perPlacement how many replicas of each placement to use
     * @param unreachableMillis after how long a silent agent counts as unreachable
     * @param clock tells the time
     */
    public PeerTable(String entry, int perPlacement, long unreachableMillis, InstantSource clock) {
        this.entry = Objects.requireNonNull(entry, "entry is null");
        this.perPlacement = perPlacement;
        this.unreachableMillis = unreachableMillis;
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    // -- reading, from any thread

    /**
     * What is known of the agents.
     *
     * @return the views by instance
     */
    public Map<String, PeerView> peers() {
        return published;
    }

    /**
     * The platform's list as last read.
     *
     * @return the instances
     */
    public List<Instance> instances() {
        return instances;
    }

    /**
     * When the platform's list was last read.
     *
     * @return milliseconds since 1970, 0 for never
     */
    public long listedMillis() {
        return listedMillis;
    }

    // -- changing, on the control thread

    /**
     * The agents to keep in touch with.
     *
     * @param state the configuration
     * @return the replicas, each instance once
     */
    public List<Replica> wanted(FoldedState state) {
        Map<String, Replica> wanted = new HashMap<>();
        state.placements().values().stream()
                .flatMap(placed -> Subset.of(entry, placed.replicas(), perPlacement).stream())
                .forEach(replica -> wanted.put(replica.instance(), replica));
        peers.keySet().retainAll(wanted.keySet());
        heard.keySet().retainAll(wanted.keySet());
        return List.copyOf(wanted.values());
    }

    /**
     * Takes note of how often each agent is asked; no agent counts as silent before twice that time.
     *
     * @param millis the time between two questions to one agent
     */
    public void askedEvery(long millis) {
        rotationMillis = millis;
    }

    /**
     * Takes the platform's list.
     *
     * @param listed the instances
     */
    public void listed(List<Instance> listed) {
        instances = List.copyOf(listed);
        listedMillis = clock.millis();
        Set<String> gone = new HashSet<>();
        listed.stream().filter(Instance::leaving).map(Instance::id).forEach(gone::add);
        leaving = gone;
        publish();
    }

    /**
     * Takes an agent's status.
     *
     * @param peer what it said
     */
    public void heard(PeerView peer) {
        peers.put(peer.instance(), peer);
        heard.put(peer.instance(), clock.millis());
        publish();
    }

    /**
     * Takes a load that came with an answer.
     *
     * @param instance the agent
     * @param load its load
     */
    public void loaded(String instance, PeerView.Load load) {
        if (peers.computeIfPresent(instance, (same, before) -> before.withLoad(load)) != null) {
            heard.put(instance, clock.millis());
            publish();
        }
    }

    /** Lets silent agents count as unreachable; to be called now and then. */
    public void publish() {
        long now = clock.millis();
        Map<String, PeerView> next = new HashMap<>();
        peers.forEach((instance, peer) -> {
            boolean silent = now - heard.getOrDefault(instance, 0L) > Math.max(unreachableMillis, 2 * rotationMillis);
            next.put(instance, peer.seenAs(!silent, peer.leaving() || leaving.contains(instance)));
        });
        published = Map.copyOf(next);
    }

    /**
     * When an agent was last heard.
     *
     * @param instance the agent
     * @return milliseconds since 1970, empty for never
     */
    public Optional<Long> heardMillis(String instance) {
        return Optional.ofNullable(heard.get(instance));
    }
}
