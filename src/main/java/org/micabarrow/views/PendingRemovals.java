package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.micabarrow.routing.EndpointEntry;

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
    static final long DOUBT_MILLIS = 2_300;

    private final Map<String, Long> doubtedUntil = new HashMap<>();
    private final Set<String> dropped = new HashSet<>();
    private int listed;
    private long regainedMillis = Long.MIN_VALUE / 2;

    /** Records that the store is reachable again after an outage. */
    void regained(long nowMillis) {
        regainedMillis = nowMillis;
        dropped.clear();
    }

    /**
     * Records the removals in one batch of records, before a decision is made on any of them.
     *
     * @param removedIds the ids of listed endpoints whose entries were removed
     * @param listedBefore how many endpoints were listed before this batch
     * @param nowMillis the time on the monotonic clock
     */
    void read(Set<String> drops, int listedNow, long nowMillis) {
        if (nowMillis >= regainedMillis + DOUBT_MILLIS) {
            return;
        }
        if (dropped.isEmpty()) {
            listed = listedNow;
        }
        dropped.addAll(drops);
    }

    private boolean awayForAll() {
        return 2 * dropped.size() > listed;
    }

    /**
     * Defers the removal of an endpoint if the store may have been unreachable for all endpoints. Returns whether it
     * was deferred.
     */
    boolean doubt(EndpointEntry known, long nowMillis) {
        long until = regainedMillis + DOUBT_MILLIS;
        if (known.leaving() || nowMillis >= until || !awayForAll()) {
            return false;
        }
        doubtedUntil.put(known.id(), until);
        return true;
    }

    /** Cancels the pending removal of an endpoint, if there is one. */
    void forget(String id) {
        doubtedUntil.remove(id);
    }

    /** The earliest time at which a pending removal takes effect; empty if none is pending. */
    OptionalLong firstEndMillis() {
        return doubtedUntil.values().stream().mapToLong(Long::longValue).min();
    }

    /** Removes and returns the pending removals that are due. */
    List<String> takeOverdue(long nowMillis) {
        List<String> overdue = new ArrayList<>();
        doubtedUntil.forEach((id, until) -> {
            if (nowMillis >= until) {
                overdue.add(id);
            }
        });
        overdue.forEach(doubtedUntil::remove);
        return overdue;
    }
}
