package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.micabarrow.routing.EndpointRegistration;

/**
 * Endpoints whose entries vanished from the store right after an outage and whose removal is still pending. Entries
 * expire while endpoints cannot write, so such an endpoint stays in the view until it has had time to write its entry
 * again. If most entries did not expire, the store was accepting writes of endpoints and was unreachable for this
 * process alone; the removal then takes effect at once, because an endpoint that is gone must get no more requests. Not
 * thread-safe.
 */
final class PendingRemovals {

    /**
     * How long after the store became reachable again a removal stays pending, in milliseconds: a running endpoint
     * writes its entry again within two seconds of that moment.
     */
    static final long REMOVAL_DELAY_MILLIS = 2_300;

    private final Map<String, Long> dueAtMillis = new HashMap<>();
    private final Set<String> removed = new HashSet<>();
    private int listedCount;
    private long reachableSinceMillis = Long.MIN_VALUE / 2;

    /** Records that the store is reachable again after an outage. */
    void onStoreReachable(long nowMillis) {
        reachableSinceMillis = nowMillis;
        removed.clear();
    }

    /**
     * Records the removals in one batch of records, before a decision is made on any of them.
     *
     * @param removedIds the ids of listed endpoints whose entries were removed
     * @param listedBefore how many endpoints were listed before this batch
     * @param nowMillis the time on the monotonic clock
     */
    void prepareBatch(Set<String> removedIds, int listedBefore, long nowMillis) {
        if (nowMillis >= reachableSinceMillis + REMOVAL_DELAY_MILLIS) {
            return;
        }
        if (removed.isEmpty()) {
            listedCount = listedBefore;
        }
        removed.addAll(removedIds);
    }

    private boolean storeWasDownForAll() {
        return 2 * removed.size() > listedCount;
    }

    /**
     * Defers the removal of an endpoint if the store may have been unreachable for all endpoints, or has lost the entry
     * because it continues from an older copy. Returns whether it was deferred.
     */
    boolean defer(EndpointRegistration entry, Continuity continuity, long nowMillis) {
        long dueMillis = reachableSinceMillis + REMOVAL_DELAY_MILLIS;
        boolean mayBeWrittenAgain = continuity == Continuity.RESTORED || storeWasDownForAll();
        if (entry.draining() || nowMillis >= dueMillis || !mayBeWrittenAgain) {
            return false;
        }
        dueAtMillis.put(entry.id(), dueMillis);
        return true;
    }

    /** Cancels the pending removal of an endpoint, if there is one. */
    void cancel(String id) {
        dueAtMillis.remove(id);
    }

    /** The earliest time at which a pending removal takes effect; empty if none is pending. */
    OptionalLong nextDueMillis() {
        return dueAtMillis.values().stream().mapToLong(Long::longValue).min();
    }

    /** Removes and returns the pending removals that are due. */
    List<String> removeDue(long nowMillis) {
        List<String> due = new ArrayList<>();
        dueAtMillis.forEach((id, dueMillis) -> {
            if (nowMillis >= dueMillis) {
                due.add(id);
            }
        });
        due.forEach(dueAtMillis::remove);
        return due;
    }
}
