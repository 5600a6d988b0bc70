package org.micabarrow.views;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.micabarrow.routing.EndpointEntry;

/**
 * Endpoints whose entries were dropped right after the store was away. Entries lapse while endpoints cannot write, so such
 * an endpoint stays in the view until it has had time to write its entry again. Not safe for several threads at once.
 */
final class DropDoubts {

    /**
     * How long after the store was away a dropped entry is doubted, in milliseconds: an endpoint that lives writes its
     * entry again within two seconds of the store's return.
     */
    private static final long DOUBT_MILLIS = 2_300;

    private final Map<String, Long> doubtedUntil = new HashMap<>();
    private long regainedMillis = Long.MIN_VALUE / 2;

    /** The store answers again after it did not. */
    void regained(long nowMillis) {
        regainedMillis = nowMillis;
    }

    /** Whether the drop of an endpoint's entry is doubted; if so, the endpoint is remembered. */
    boolean doubt(EndpointEntry known, long nowMillis) {
        long until = regainedMillis + DOUBT_MILLIS;
        if (known.leaving() || nowMillis >= until) {
            return false;
        }
        doubtedUntil.put(known.id(), until);
        return true;
    }

    /** Forgets the doubt of an endpoint about which there is news, if there is one. */
    void forget(String id) {
        doubtedUntil.remove(id);
    }

    /** Takes out the endpoints that have not come back in time. */
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
