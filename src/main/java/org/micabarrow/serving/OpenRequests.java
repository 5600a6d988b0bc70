package org.micabarrow.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The requests that wait for an answer. Used by the one thread for traffic. */
final class OpenRequests {

    private final Set<Open> open = new LinkedHashSet<>();

    /** A request that waits. */
    interface Open {

        /** Goes on at another endpoint if nothing is heard of the present one any more. */
        void moveIfSilent();
    }

    void add(Open request) {
        open.add(request);
    }

    void remove(Open request) {
        open.remove(request);
    }

    /** Has every request look after its endpoint; those that end meanwhile leave the set. */
    void moveFromSilentEndpoints() {
        List.copyOf(open).forEach(Open::moveIfSilent);
    }
}
