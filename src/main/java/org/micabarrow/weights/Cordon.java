package org.micabarrow.weights;

import java.util.Objects;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps new requests away from an endpoint before it is ordered to load a version, so that no request is on its way
 * when the order is given. A request that waited at the endpoint while its instance was paused would start on the old
 * version whenever the instance resumes. Written by one thread, read by any.
 */
final class Cordon {

    private static final Logger LOG = LoggerFactory.getLogger(Cordon.class);

    /**
     * How long an endpoint gets no new requests before its order, in milliseconds: the longest interval between two
     * load queries of an entry, in case the immediate notification is lost, plus the network delay. Running requests
     * take longer to finish, and the endpoint waits for them anyway.
     */
    static final long LEAD_MILLIS = 500;

    private final Runnable notifyEntries;
    private volatile OptionalLong closedAtMillis = OptionalLong.empty();

    /**
     * Creates an open cordon.
     *
     * @param notifyEntries notifies entries immediately that the endpoint's state has changed
     */
    Cordon(Runnable notifyEntries) {
        this.notifyEntries = Objects.requireNonNull(notifyEntries, "notifyEntries is null");
    }

    /** Whether entries must send no requests. */
    boolean isClosed() {
        return closedAtMillis.isPresent();
    }

    /** Why a cordon closes. */
    enum Reason {
        /** A newer version is complete, or will be soon. */
        ORDER,
        /** No newer version is complete, and the one that the endpoint holds reaches its bound. */
        STOP,
        /** The endpoint may have loaded a version from corrupted chunks. */
        CHECK
    }

    /**
     * Closes the cordon if it is open. Returns whether it has been closed for long enough that all entries know.
     *
     * @param nowMillis the current time
     * @param reason why it closes
     * @param boundInMillis how long the version that the endpoint holds may still be served; empty if not limited
     */
    boolean closeAndCheckElapsed(long nowMillis, Reason reason, OptionalLong boundInMillis) {
        if (closedAtMillis.isEmpty()) {
            closedAtMillis = OptionalLong.of(nowMillis);
            LOG.info(
                    "event=cordon_closed for={} orderInMs={} boundInMs={}",
                    reason,
                    LEAD_MILLIS,
                    boundInMillis.isPresent() ? boundInMillis.getAsLong() : "-");
            notifyEntries.run();
        }
        return nowMillis - closedAtMillis.getAsLong() >= LEAD_MILLIS;
    }

    /** Opens the cordon if it is closed. */
    void lift() {
        if (isClosed()) {
            closedAtMillis = OptionalLong.empty();
            LOG.info("event=cordon_lifted");
        }
    }
}
