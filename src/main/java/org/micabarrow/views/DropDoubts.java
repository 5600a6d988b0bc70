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
 * Endpoints whose entries were dropped right after the store was away. Entries lapse while endpoints cannot write, so such
 * an endpoint stays in the view until it has had time to write its entry again. Where most entries did not lapse, the store took what
 * endpoints write and was away for this process alone; then a drop is believed at once, since an endpoint that is gone must get nothing
 * more. Not safe for several threads at once.
 */
final class DropDoubts {

    /**
     * How long after the store was away a dropped entry is doubted, in milliseconds: an endpoint that lives writes its
     * entry again within two seconds of the store's return.
     */
    static final long DOUBT_MILLIS = 2_300;

    private final Map<String, Long> doubtedUntil = new HashMap<>();
    private final Set<String> dropped = new HashSet<>();
    private int listed;
    private long regainedMillis = Long.MIN_VALUE / 2;

    /** The store answers again after it did not. */
    void regained(long nowMillis) {
        regainedMillis = nowMillis;
        dropped.clear();
    }

    /**
     * Takes note of the drops among records that are read at once, before any of them is decided on.
     *
     * @param drops the ids of listed endpoints whose entries are dropped
     * @param listedNow how many endpoints are listed before these records
     * @param nowMillis the time on the steady clock
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

    /** Whether the drop of an endpoint's entry is doubted; if so, the endpoint is remembered. */
    boolean doubt(EndpointRegistration known, long nowMillis) {
        long until = regainedMillis + DOUBT_MILLIS;
        if (known.leaving() || nowMillis >= until || !awayForAll()) {
            return false;
        }
        doubtedUntil.put(known.id(), until);
        return true;
    }

    /** Forgets the doubt of an endpoint about which there is news, if there is one. */
    void forget(String id) {
        doubtedUntil.remove(id);
    }

    /** When the first doubt ends; empty if there is none. */
    OptionalLong firstEndMillis() {
        return doubtedUntil.values().stream().mapToLong(Long::longValue).min();
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
