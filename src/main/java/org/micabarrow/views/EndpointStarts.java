package org.micabarrow.views;

import java.util.HashMap;
import java.util.Map;
import org.micabarrow.routing.EndpointEntry;

/**
 * The newest start of each endpoint that was heard of. A write that an endpoint sent before it went down may reach the store
 * after those of its next start; what it says is over. Not safe for several threads at once.
 */
final class EndpointStarts {

    /**
     * How long a start holds against older ones after it was heard of last, in milliseconds: an endpoint writes its entry every
     * 1.2 s or so, and a lost write may come seconds late. A clock that was set back, or one false entry with a start in the
     * future, costs an endpoint this long and no longer.
     */
    private static final long HELD_MILLIS = 5_000;

    /** As many as the copy of the topic holds keys. */
    private final Map<String, Heard> newest = new HashMap<>();

    private record Heard(long startedMillis, long atMillis) {}

    /** Whether an entry does not tell its endpoint's start, although the endpoint's entries do: another writer wrote it. */
    boolean lacking(EndpointEntry entry) {
        return entry.startedMillis().isEmpty() && newest.containsKey(entry.id());
    }

    /** Takes an entry into account, and tells whether it is of an older start than one that was heard of lately. */
    boolean over(EndpointEntry entry, long nowMillis) {
        if (entry.startedMillis().isEmpty()) {
            return false;
        }
        long started = entry.startedMillis().getAsLong();
        Heard heard = newest.get(entry.id());
        if (heard != null && heard.startedMillis() > started && nowMillis - heard.atMillis() <= HELD_MILLIS) {
            return true;
        }
        newest.put(entry.id(), new Heard(started, nowMillis));
        return false;
    }
}
