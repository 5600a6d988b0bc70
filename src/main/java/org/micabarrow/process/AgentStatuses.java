package org.micabarrow.process;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.micabarrow.coordination.membership.PeerTable;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.coordination.membership.StatusRotation;
import org.micabarrow.protocol.StatusMessages;
import org.micabarrow.protocol.wire.StatusReply;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Replica;

/** Polls the status of the agents that this entry routes to, round-robin. Runs on the control thread. */
final class AgentStatuses {

    private final Node node;
    private final PeerTable table;
    private final StatusRotation rotation;
    private final Consumer<PeerView> listener;

    /**
     * Creates the poll.
     *
     * @param node provides the client and the configuration
     * @param table the agents that this entry routes to
     * @param statusMillis the interval between polls of an agent while there are few, in milliseconds
     * @param listener receives each status, on the control thread
     */
    AgentStatuses(Node node, PeerTable table, long statusMillis, Consumer<PeerView> listener) {
        this.node = node;
        this.table = table;
        this.rotation = new StatusRotation(statusMillis);
        this.listener = listener;
    }

    /** Polls the agents that are due. */
    void poll() {
        FoldedState state = node.configuration().current();
        List<Replica> wanted = table.wanted(state);
        table.askedEvery(rotation.rotationMillis(wanted.size()));
        for (Replica replica : rotation.due(wanted, node.clock().millis())) {
            node.peers()
                    .status(replica.address(), state.offset())
                    .thenAccept(result -> result.toOptional()
                            .filter(reply -> reply.getInstance().equals(replica.instance()))
                            .map(this::view)
                            .ifPresent(view -> node.control().execute(() -> listener.accept(view))));
        }
    }

    private PeerView view(StatusReply reply) {
        return new PeerView(
                reply.getInstance(),
                reply.getEpoch(),
                reply.getGeneration(),
                reply.getDigest(),
                true,
                reply.getLoad().getLeaving(),
                reply.getReplicasList().stream()
                        .map(one -> StatusMessages.fromWire(reply.getInstance(), one))
                        .collect(Collectors.toMap(ReplicaView::placement, Function.identity())),
                StatusMessages.fromWire(reply.getLoad(), node.clock().millis()));
    }
}
