package org.micabarrow.views;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.micabarrow.routing.EndpointRegistration;

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
    private static final long PRECEDENCE_MILLIS = 7_000;

    /** Denotes the start time of an endpoint that does not report one. */
    private static final long UNKNOWN_START = -1;

    /** Holds as many entries as the topic copy holds keys. */
    private final Map<String, SeenEntry> newestById = new HashMap<>();

    private record SeenEntry(long startedMillis, OptionalLong writeCount, long seenAtMillis) {

        private boolean isAfter(EndpointRegistration entry, long started) {
            return startedMillis > started
                    || countsWrites(entry, started)
                            && writeCount.getAsLong() > entry.writeCount().getAsLong();
        }

        private boolean isBefore(EndpointRegistration entry, long started) {
            return startedMillis < started
                    || countsWrites(entry, started)
                            && writeCount.getAsLong() < entry.writeCount().getAsLong();
        }

        /** Whether the order of two entries of the same start shows by their write counters. */
        private boolean countsWrites(EndpointRegistration entry, long started) {
            return startedMillis == started
                    && writeCount.isPresent()
                    && entry.writeCount().isPresent();
        }
    }

    /**
     * Whether an entry has no start time although earlier entries of the endpoint had one, which means that something
     * else wrote it.
     */
    boolean lacksStart(EndpointRegistration entry) {
        return entry.startedMillis().isEmpty() && hasKnownStart(entry.id());
    }

    private static long startedMillis(EndpointRegistration entry) {
        return entry.startedMillis().orElse(UNKNOWN_START);
    }

    private boolean hasKnownStart(String id) {
        return newestById.containsKey(id) && newestById.get(id).startedMillis() != UNKNOWN_START;
    }

    /** Lets the entries that were read so far take precedence for as long again. */
    void onStoreRestored(long nowMillis) {
        newestById.replaceAll((id, newest) -> new SeenEntry(newest.startedMillis(), newest.writeCount(), nowMillis));
    }

    /** Whether an entry of the endpoint was read before that is as new as the given one, or may be. */
    boolean isNotNewer(EndpointRegistration entry) {
        SeenEntry newest = newestById.get(entry.id());
        return newest != null && !newest.isBefore(entry, startedMillis(entry));
    }

    /** Returns whether an entry is older than one that was read recently; otherwise records it as the newest. */
    boolean isSuperseded(EndpointRegistration entry, long nowMillis) {
        long started = startedMillis(entry);
        SeenEntry newest = newestById.get(entry.id());
        if (newest != null
                && newest.isAfter(entry, started)
                && nowMillis - newest.seenAtMillis() <= PRECEDENCE_MILLIS) {
            return true;
        }
        newestById.put(entry.id(), new SeenEntry(started, entry.writeCount(), nowMillis));
        return false;
    }
}
