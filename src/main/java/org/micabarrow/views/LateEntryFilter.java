package org.micabarrow.views;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointEntry;

/**
 * Detects endpoint entries that were written late. Entries of an endpoint are ordered by its start time and its write
 * counter. A write whose response was lost may take effect seconds later, after the writes that followed it; the latest
 * entry in the store is then outdated. Without this check, an endpoint that had reported that it is draining would
 * appear active again, and one that had stopped would appear to be running. Not thread-safe.
 */
final class LateEntryFilter {

    /**
     * How long an entry takes precedence over older ones after it was read, in milliseconds: a write whose response was
     * lost may take effect up to 6 s later. The limit also bounds the effect of a clock that was set back, and of a
     * wrong entry with a start time in the future.
     */
    private static final long HELD_MILLIS = 7_000;

    /** Stands for the start time of an endpoint that does not report one. */
    private static final long UNTOLD = -1;

    /** Holds as many entries as the topic copy holds keys. */
    private final Map<String, Heard> newest = new HashMap<>();

    private record Heard(long startedMillis, OptionalLong writes, long atMillis) {

        private boolean after(EndpointEntry entry, long started) {
            boolean sameStart = startedMillis == started
                    && writes.isPresent()
                    && entry.writes().isPresent();
            return startedMillis > started
                    || sameStart && writes.getAsLong() > entry.writes().getAsLong();
        }
    }

    /**
     * Whether an entry has no start time although earlier entries of the endpoint had one, which means that something
     * else wrote it.
     */
    boolean lacking(EndpointEntry entry) {
        return entry.startedMillis().isEmpty() && toldStart(entry.id());
    }

    private boolean toldStart(String id) {
        return newest.containsKey(id) && newest.get(id).startedMillis() != UNTOLD;
    }

    /** Returns whether an entry is older than one that was read recently; otherwise records it as the newest. */
    boolean over(EndpointEntry entry, long nowMillis) {
        long started = entry.startedMillis().orElse(UNTOLD);
        Heard heard = newest.get(entry.id());
        if (heard != null && heard.after(entry, started) && nowMillis - heard.atMillis() <= HELD_MILLIS) {
            return true;
        }
        newest.put(entry.id(), new Heard(started, entry.writes(), nowMillis));
        return false;
    }
}
