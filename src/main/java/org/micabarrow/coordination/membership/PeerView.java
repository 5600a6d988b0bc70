package org.micabarrow.coordination.membership;

import java.util.Map;
import java.util.Objects;

/**
 * What an entry knows of one agent.
 *
 * @param instance the instance
 * @param epoch the agent's process
 * @param generation the agent's generation
 * @param digest the digest of the agent's folded state
 * @param reachable whether it answered lately
 * @param leaving whether it, or the platform's list, says that it leaves
 * @param replicas how far its replicas have come, by placement
 * @param load its latest word on its load
 */
public record PeerView(
        String instance,
        String epoch,
        long generation,
        String digest,
        boolean reachable,
        boolean leaving,
        Map<String, ReplicaView> replicas,
        Load load) {

    /** Copies the map. */
    public PeerView {
        Objects.requireNonNull(instance, "instance is null");
        Objects.requireNonNull(epoch, "epoch is null");
        Objects.requireNonNull(load, "load is null");
        replicas = Map.copyOf(replicas);
    }

    /**
     * The same agent with a newer word on its load.
     *
     * @param newer its load
     * @return the view
     */
    public PeerView withLoad(Load newer) {
        return new PeerView(instance, epoch, generation, digest, reachable, leaving, replicas, newer);
    }

    /**
     * The same agent as others see it.
     *
     * @param isReachable whether it has answered lately
     * @param isLeaving whether anybody says that it leaves
     * @return the view
     */
    public PeerView seenAs(boolean isReachable, boolean isLeaving) {
        return new PeerView(instance, epoch, generation, digest, isReachable, isLeaving, replicas, load);
    }

    /**
     * An agent's load.
     *
     * @param inFlight requests that run there
     * @param queued requests that wait at the endpoint
     * @param limit how many it lets run at once
     * @param atMillis when it said so
     */
    public record Load(int inFlight, int queued, int limit, long atMillis) {}
}
