package org.micabarrow.routing;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The starts of endpoints that stated in a response that they are draining. A registration does not revoke that, even
 * if it is read later, since it may have been written before. The statement applies to that start only, not to other
 * starts at the same address. Not thread-safe: confined to one thread.
 */
final class DrainingEndpoints {

    /**
     * Maximum number of starts remembered: more than drain while one of their registrations may still be written late.
     */
    private static final int MAX_STARTS = 1_000;

    private final Set<EndpointStart> starts = new LinkedHashSet<>();

    /** Adds a start, and returns whether it is new. */
    boolean add(EndpointStart start) {
        Objects.requireNonNull(start, "start is null");
        if (starts.size() == MAX_STARTS && !starts.contains(start)) {
            starts.remove(starts.iterator().next());
        }
        return starts.add(start);
    }

    boolean contains(EndpointStart start) {
        return starts.contains(start);
    }
}
