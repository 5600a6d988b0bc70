package org.micabarrow.views;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies endpoint entries from the store to the list of endpoints, and handles entries that were written late, are
 * invalid, or expired during a store outage. Not thread-safe.
 */
final class EndpointListUpdater {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointListUpdater.class);

    private final RecordDecoder decoder;
    private final PendingRemovals doubts = new PendingRemovals();
    private final LateEntryFilter newestEntries = new LateEntryFilter();

    /** Keys with an invalid entry. An invalid entry is logged once per key, however often it is written. */
    private final Set<String> unusable = new HashSet<>();

    EndpointListUpdater(RecordDecoder decoder) {
        this.decoder = decoder;
    }

    // -- store outages

    /** Records that the store is reachable again after an outage. */
    void regained(long nowMillis) {
        doubts.regained(nowMillis);
    }

    /** Returns the list without the endpoints whose pending removal is due; empty if none is due. */
    Optional<Map<String, EndpointEntry>> withoutOverdue(Map<String, EndpointEntry> endpoints, long nowMillis) {
        List<String> overdue = doubts.takeOverdue(nowMillis);
        if (overdue.isEmpty()) {
            return Optional.empty();
        }
        Map<String, EndpointEntry> left = new HashMap<>(endpoints);
        overdue.forEach(id -> {
            left.remove(id);
            LOG.info("event=endpoint_gone endpoint={} after=doubt", id);
        });
        return Optional.of(left);
    }

    /** Returns the given wait, shortened to the time until the first pending removal is due. */
    Duration untilDoubtEnds(Duration wait, long nowMillis) {
        OptionalLong end = doubts.firstEndMillis();
        return end.isEmpty() ? wait : Duration.ofMillis(Math.clamp(end.getAsLong() - nowMillis, 0, wait.toMillis()));
    }

    // -- records

    /** Prepares for a batch of records, each of which is passed to {@link #apply} afterwards. */
    void read(List<StoredRecord> records, Map<String, EndpointEntry> endpoints, long nowMillis) {
        Set<String> drops = records.stream()
                .filter(StoredRecord::dropped)
                .map(StoredRecord::key)
                .filter(endpoints::containsKey)
                .collect(Collectors.toSet());
        doubts.read(drops, endpoints.size(), nowMillis);
    }

    /** Applies a record to the given endpoints. Returns the line to log if anything changed. */
    Optional<String> take(StoredRecord record, Map<String, EndpointEntry> endpoints, long nowMillis) {
        return record.dropped() ? dropped(record, endpoints, nowMillis) : written(record, endpoints, nowMillis);
    }

    private Optional<String> dropped(StoredRecord record, Map<String, EndpointEntry> endpoints, long nowMillis) {
        String id = record.key();
        EndpointEntry known = endpoints.get(id);
        if (known != null && doubts.doubt(known, nowMillis)) {
            return Optional.of("event=endpoint_doubted endpoint=" + id + " offset=" + record.offset());
        }
        doubts.forget(id);
        unusable.remove(id);
        return endpoints.remove(id) == null
                ? Optional.empty()
                : Optional.of("event=endpoint_gone endpoint=" + id + " offset=" + record.offset());
    }

    private Optional<String> written(StoredRecord record, Map<String, EndpointEntry> endpoints, long nowMillis) {
        return switch (decoder.endpoint(record)) {
            case Result.Failure<EndpointEntry>(Fault fault) -> refused(record, fault.message(), endpoints);
            case Result.Success<EndpointEntry>(EndpointEntry entry)
            when newestEntries.lacking(entry) -> refused(record, "the start time of the endpoint is missing", endpoints);
            case Result.Success<EndpointEntry>(EndpointEntry entry)
            when newestEntries.over(entry, nowMillis) ->
                Optional.of("event=entry_written_late endpoint=" + entry.id() + " started=" + started(entry)
                        + " leaving=" + entry.leaving() + " offset=" + record.offset());
            case Result.Success<EndpointEntry>(EndpointEntry entry) -> taken(record, entry, endpoints);
        };
    }

    /**
     * Removes an endpoint whose new entry is invalid. Its previous entry is outdated, and it is unknown whether the
     * endpoint is still running or draining.
     */
    private Optional<String> refused(StoredRecord record, String why, Map<String, EndpointEntry> endpoints) {
        String id = record.key();
        doubts.forget(id);
        boolean first = unusable.add(id);
        boolean known = endpoints.remove(id) != null;
        return first || known
                ? Optional.of("event=entry_refused endpoint=" + record.shownKey() + " known=" + known + " offset="
                        + record.offset() + " why=\"" + why + "\"")
                : Optional.empty();
    }

    private Optional<String> taken(StoredRecord record, EndpointEntry entry, Map<String, EndpointEntry> endpoints) {
        doubts.forget(entry.id());
        unusable.remove(entry.id());
        EndpointEntry before = endpoints.put(entry.id(), entry);
        if (before != null && entry.saysTheSameAs(before)) {
            return Optional.empty();
        }
        boolean again = before != null && !before.start().equals(entry.start());
        String event = again ? "endpoint_restarted" : "endpoint_changed";
        return Optional.of("event=" + event + " endpoint=" + entry.id() + " address=" + entry.address() + " leaving="
                + entry.leaving() + " models="
                + StoredRecord.shown(entry.models().toString()) + " started=" + started(entry) + " offset="
                + record.offset());
    }

    private static String started(EndpointEntry entry) {
        return entry.startedMillis().isEmpty()
                ? "-"
                : String.valueOf(entry.startedMillis().getAsLong());
    }
}
