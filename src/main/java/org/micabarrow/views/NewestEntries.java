package org.micabarrow.views;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointRegistration;

/**
 * The newest entry of each endpoint that was heard of, by its start and by how often it had written since. A write that got no
 * answer may be done seconds later, after those that followed it: then the entry that comes last says what was. An endpoint that
 * had said that it leaves would seem to stay, and one that went down would seem to be there. Not safe for several threads at
 * once.
 */
final class NewestEntries {

    /**
     * How long an entry holds against older ones after it was heard of, in milliseconds: a write that got no answer may be done
     * up to 6 s later. A clock that was set back, or one false entry with a start in the
     * future, costs an endpoint this long and no longer.
     */
    private static final long HELD_MILLIS = 7_000;

    /** Stands for the start of an endpoint that does not tell it. */
    private static final long UNTOLD = -1;

    /** As many as the copy of the topic holds keys. */
    private final Map<String, Heard> newest = new HashMap<>();

    private record Heard(long startedMillis, OptionalLong writes, long atMillis) {

        private boolean after(EndpointRegistration entry, long started) {
            boolean sameStart = startedMillis == started
                    && writes.isPresent()
                    && entry.writes().isPresent();
            return startedMillis > started
                    || sameStart && writes.getAsLong() > entry.writes().getAsLong();
        }
    }

    /** Whether an entry does not tell its endpoint's start, although the endpoint's entries do: another writer wrote it. */
    boolean lacking(EndpointRegistration entry) {
        return entry.startedMillis().isEmpty() && toldStart(entry.id());
    }

    private boolean toldStart(String id) {
        return newest.containsKey(id) && newest.get(id).startedMillis() != UNTOLD;
    }

    /** Takes an entry into account, and tells whether it was written before one that was heard of lately. */
    boolean over(EndpointRegistration entry, long nowMillis) {
        long started = entry.startedMillis().orElse(UNTOLD);
        Heard heard = newest.get(entry.id());
        if (heard != null && heard.after(entry, started) && nowMillis - heard.atMillis() <= HELD_MILLIS) {
            return true;
        }
        newest.put(entry.id(), new Heard(started, entry.writes(), nowMillis));
        return false;
    }
}
