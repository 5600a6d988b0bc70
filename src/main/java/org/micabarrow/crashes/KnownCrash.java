package org.micabarrow.crashes;

import java.util.HashSet;
import java.util.Set;

/** What a process knows of one crash. Not thread-safe: guarded by its {@link CrashRegistry}. */
final class KnownCrash {

    /** Maximum number of causes remembered: with the parts of their prompts, more than an endpoint runs and queues. */
    private static final int MAX_CAUSES = 1_024;

    private final long atMillis;
    private final Set<RequestDigest> requests = new HashSet<>();
    private final Set<Cause> involved = new HashSet<>();
    private final Set<Cause> cleared = new HashSet<>();

    KnownCrash(long atMillis) {
        this.atMillis = atMillis;
    }

    long atMillis() {
        return atMillis;
    }

    /** The causes that have not been cleared since. */
    Set<Cause> involved() {
        return involved;
    }

    /** The requests, including those that have been cleared since. */
    Set<RequestDigest> requests() {
        return requests;
    }

    /** Adds a cause; returns false if it is already known, has been cleared, or there are too many. */
    boolean add(Cause cause) {
        if (involved.size() + cleared.size() >= MAX_CAUSES || cleared.contains(cause)) {
            return false;
        }
        if (cause instanceof RequestDigest request) {
            requests.add(request);
        }
        return involved.add(cause);
    }

    void clear(Cause cause) {
        involved.remove(cause);
        cleared.add(cause);
    }
}
