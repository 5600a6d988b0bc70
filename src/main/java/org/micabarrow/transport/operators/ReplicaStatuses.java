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
import org.micabarrow.state.FoldedState.Placed;
import org.micabarrow.state.Replica;
import org.micabarrow.state.Result;

/** Asks every replica for its state. */
final class ReplicaStatuses {

    private final OperatorApi.Parts parts;

    ReplicaStatuses(OperatorApi.Parts parts) {
        this.parts = parts;
    }

    /**
     * Asks every replica for its state.
     *
     * @return the state of things
     */
    OperatorMessages.Status status() {
        FoldedState state = parts.configuration().current();
        Map<Replica, CompletableFuture<Result<StatusReply>>> asked = new HashMap<>();
        state.placements().values().stream()
                .flatMap(placed -> placed.replicas().stream())
                .distinct()
                .forEach(replica -> asked.put(replica, parts.peers().status(replica.address(), state.offset())));
        List<OperatorMessages.Replica> replicas = new ArrayList<>();
        state.placements()
                .values()
                .forEach(placed -> placed.replicas().stream()
                        .sorted(Comparator.comparing(Replica::instance))
                        .forEach(replica -> replicas.add(
                                line(placed, replica, asked.get(replica).join()))));
        Configuration.View view = parts.configuration().view();
        return new OperatorMessages.Status(
                parts.entry(),
                state.offset(),
                state.digest(),
                view.stopped().map(Fault::toString).orElse(""),
                parts.configuration().silentMillis(),
                parts.waiting().getAsInt(),
                replicas);
    }

    private static OperatorMessages.Replica line(Placed placed, Replica replica, Result<StatusReply> reply) {
        Optional<ReplicaView> view = reply.toOptional()
                .flatMap(status -> status.getReplicasList().stream()
                        .filter(one ->
                                one.getPlacement().equals(placed.placement().name()))
                        .map(one -> StatusMessages.fromWire(replica.instance(), one))
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
                view.map(one -> one.state().name().toLowerCase(Locale.ROOT)).orElse("unreachable"),
                view.map(ReplicaView::chunks).orElse(0),
                view.map(ReplicaView::total).orElse(0),
                view.flatMap(ReplicaView::serving).orElse(""),
                reply.toOptional().map(StatusReply::getGeneration).orElse(-1L),
                fault);
    }
}
