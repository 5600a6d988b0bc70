package org.micabarrow.routing;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The starts of endpoints that said in an answer that they leave. No entry takes that back, be it read later or written before: it holds
 * for that start of the endpoint, and for no other one at its address. Used by one thread.
 */
final class DrainingEndpoints {

    /** How many are remembered: more than leave while an entry of theirs may be written late. */
    private static final int MOST = 1_000;

    private final Set<EndpointStart> starts = new LinkedHashSet<>();

    /** Remembers a start, and tells whether that is news. */
    boolean add(EndpointStart start) {
        Objects.requireNonNull(start, "start is null");
        if (starts.size() == MOST && !starts.contains(start)) {
            starts.remove(starts.iterator().next());
        }
        return starts.add(start);
    }

    boolean contains(EndpointStart start) {
        return starts.contains(start);
    }
}
