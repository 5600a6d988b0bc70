package org.micabarrow.protocol;

import java.util.Locale;
import java.util.Optional;
import org.micabarrow.coordination.membership.PeerView;
import org.micabarrow.coordination.membership.ReplicaView;
import org.micabarrow.protocol.wire.Load;
import org.micabarrow.protocol.wire.ReplicaStatus;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;

/** Converts the status of replicas to protobuf messages and back, and reads the load of peers. */
public final class StatusMessages {

    private StatusMessages() {}

    /**
     * Converts the status of a replica to a message.
     *
     * @param replica the status of the replica
     * @return the message
     */
    public static ReplicaStatus toWire(ReplicaView replica) {
        return ReplicaStatus.newBuilder()
                .setPlacement(replica.placement())
                .setVersion(replica.version())
                .setState(replica.state().name().toLowerCase(Locale.ROOT))
                .setChunks(replica.chunks())
                .setTotal(replica.total())
                .setFault(replica.fault().map(Fault::toString).orElse(""))
                .setServes(replica.serving().isPresent())
                .setServing(replica.serving().orElse(""))
                .build();
    }

    /**
     * Reads the status of a replica from a message.
     *
     * @param peer the process that sent the message
     * @param message the message
     * @return the status of the replica
     */
    public static ReplicaView fromWire(String peer, ReplicaStatus message) {
        return new ReplicaView(
                message.getPlacement(),
                message.getVersion(),
                ReplicaView.State.valueOf(message.getState().toUpperCase(Locale.ROOT)),
                message.getChunks(),
                message.getTotal(),
                message.getServes() ? Optional.of(message.getServing()) : Optional.empty(),
                message.getFault().isEmpty()
                        ? Optional.empty()
                        : Optional.of(Fault.of(Step.STATUS, peer, Reason.UNKNOWN, message.getFault())));
    }

    /**
     * Reads the load of a peer from a message.
     *
     * @param load the message
     * @param nowMillis the time at which the message arrived, in milliseconds
     * @return the load of the peer
     */
    public static PeerView.Load fromWire(Load load, long nowMillis) {
        return new PeerView.Load(load.getInFlight(), load.getQueued(), load.getLimit(), nowMillis);
    }
}
