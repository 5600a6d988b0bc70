package org.micabarrow.weights;

import java.util.Objects;
import java.util.OptionalLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps new requests away from an endpoint before it gets an order, so that none is on its way there when the order is
 * given. A request that waited at an endpoint while its instance stood still would begin on the old version whenever the
 * instance goes on. Written by one thread, read by any.
 */
final class Cordon {

    private static final Logger LOG = LoggerFactory.getLogger(Cordon.class);

    /**
     * How long an endpoint gets no new requests before its order, in milliseconds: the longest pause between two questions
     * of an entry, should the datagram that tells at once be lost, and the way there. Requests that run take longer to end,
     * and the endpoint waits for them anyhow.
     */
    static final long MILLIS = 500;

    private final Runnable tellEntries;
    private volatile OptionalLong sinceMillis = OptionalLong.empty();

    /**
     * Makes a cordon that is open.
     *
     * @param tellEntries tells entries at once how the endpoint is
     */
    Cordon(Runnable tellEntries) {
        this.tellEntries = Objects.requireNonNull(tellEntries, "tellEntries is null");
    }

    /** Whether entries are to send nothing. */
    boolean closed() {
        return sinceMillis.isPresent();
    }

    /** Closes the cordon if it is open, and tells whether all entries have had the time to learn of it. */
    boolean closedLongEnough(long nowMillis) {
        if (sinceMillis.isEmpty()) {
            sinceMillis = OptionalLong.of(nowMillis);
            LOG.info("event=cordon_closed orderInMs={}", MILLIS);
            tellEntries.run();
        }
        return nowMillis - sinceMillis.getAsLong() >= MILLIS;
    }

    /** Opens the cordon, if it is closed. */
    void lift() {
        if (closed()) {
            sinceMillis = OptionalLong.empty();
            LOG.info("event=cordon_lifted");
        }
    }
}
