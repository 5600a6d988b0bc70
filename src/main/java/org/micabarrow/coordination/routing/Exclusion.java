package org.micabarrow.coordination.routing;

import java.util.Objects;
import org.micabarrow.state.Replica;

/**
 * A replica that is not eligible for a request, with the reason.
 *
 * @param replica the replica
 * @param reason the reason
 */
public record Exclusion(Replica replica, Reason reason) {

    /** Validates the components. */
    public Exclusion {
        Objects.requireNonNull(replica, "replica is null");
        Objects.requireNonNull(reason, "reason is null");
    }

    /** Why a replica is excluded. */
    public enum Reason {
        OUTSIDE_PLACEMENT,
        NOT_HEARD,
        NOT_READY,
        LEAVING,
        TRIED,
        EJECTED,
        FULL
    }

    @Override
    public String toString() {
        return replica.instance() + ":" + reason;
    }
}
