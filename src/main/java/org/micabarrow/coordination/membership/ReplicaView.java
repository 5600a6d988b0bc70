package org.micabarrow.coordination.membership;

import java.util.Objects;
import java.util.Optional;
import org.micabarrow.state.Fault;

/**
 * How far a replica has come.
 *
 * @param placement the placement
 * @param version the version that the placement asks for; empty for a service
 * @param state the state of that version
 * @param chunks the chunks verified and staged
 * @param total the chunks in all
 * @param serving the version that answers requests, if one does: the one asked for or the one before
 * @param fault the latest failure, if the replica is not ready
 */
public record ReplicaView(
        String placement,
        String version,
        State state,
        int chunks,
        int total,
        Optional<String> serving,
        Optional<Fault> fault) {

    /** Checks the parts. */
    public ReplicaView {
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(serving, "serving is null");
        Objects.requireNonNull(fault, "fault is null");
    }

    /** The states of a replica, in order; only the last is routable. */
    public enum State {
        ABSENT,
        RECEIVING,
        VERIFIED,
        READY
    }
}
