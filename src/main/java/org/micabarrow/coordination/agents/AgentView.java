package org.micabarrow.coordination.agents;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.micabarrow.coordination.endpoint.Endpoint;
import org.micabarrow.coordination.membership.ReplicaView;

/**
 * What an agent's control thread publishes.
 *
 * @param replicas how far each replica has come, by placement
 * @param leaving whether the instance takes no new work
 * @param report the endpoint's latest report, empty while it does not answer
 */
public record AgentView(Map<String, ReplicaView> replicas, boolean leaving, Optional<Endpoint.Report> report) {

    /** Copies the map. */
    public AgentView {
        replicas = Map.copyOf(replicas);
        Objects.requireNonNull(report, "report is null");
    }

    /**
     * The view at the start.
     *
     * @return no replicas
     */
    public static AgentView empty() {
        return new AgentView(Map.of(), false, Optional.empty());
    }
}
