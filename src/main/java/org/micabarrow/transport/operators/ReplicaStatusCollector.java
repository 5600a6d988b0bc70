package org.micabarrow.transport.operators;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.micabarrow.coordination.configuration.Configuration;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.protocol.OperatorMessages;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.FoldedState.ActivePlacement;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Queries the state of every replica. */
final class ReplicaStatusCollector {

    private final OperatorApi.Dependencies dependencies;

    ReplicaStatusCollector(OperatorApi.Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Queries the state of every replica.
     *
     * @return the state of this entry and of all replicas
     */
    OperatorMessages.Status status() {
        FoldedState state = dependencies.configuration().current();
        Map<Replica, CompletableFuture<Result<StatusReply>>> replies = new HashMap<>();
        state.placements().values().stream()
                .flatMap(placed -> placed.replicas().stream())
                .distinct()
                .forEach(replica ->
                        replies.put(replica, dependencies.peers().status(replica.address(), state.offset())));
        List<OperatorMessages.Replica> replicas = new ArrayList<>();
        state.placements()
                .values()
                .forEach(placed -> placed.replicas().stream()
                        .sorted(Comparator.comparing(Replica::instance))
                        .forEach(replica -> replicas.add(
                                toMessage(placed, replica, replies.get(replica).join()))));
        Configuration.View view = dependencies.configuration().view();
        return new OperatorMessages.Status(
                dependencies.entry(),
                state.offset(),
                state.digest(),
                view.stopped().map(Fault::toString).orElse(""),
                dependencies.configuration().silentMillis(),
                dependencies.waitingRequests().getAsInt(),
                replicas);
    }

    private static OperatorMessages.Replica toMessage(
            ActivePlacement placed, Replica replica, Result<StatusReply> reply) {
        Optional<ReplicaView> view = reply.toOptional()
                .flatMap(status -> status.getReplicasList().stream()
                        .filter(replicaStatus -> replicaStatus
                                .getPlacement()
                                .equals(placed.placement().name()))
                        .map(replicaStatus -> StatusMessages.fromWire(replica.instance(), replicaStatus))
                        .findFirst());
        String fault = reply.cause()
                .map(Fault::toString)
                .or(() -> view.flatMap(ReplicaView::fault).map(Fault::message))
                .orElse("");
        return new OperatorMessages.Replica(
                placed.placement().name(),
                replica.instance(),
                replica.region(),
                replica.hall(),
                placed.placement().workload().version(),
                view.map(replicaView -> replicaView.state().name().toLowerCase(Locale.ROOT))
                        .orElse("unreachable"),
                view.map(ReplicaView::chunks).orElse(0),
                view.map(ReplicaView::total).orElse(0),
                view.flatMap(ReplicaView::serving).orElse(""),
                reply.toOptional().map(StatusReply::getGeneration).orElse(-1L),
                fault);
    }
}
