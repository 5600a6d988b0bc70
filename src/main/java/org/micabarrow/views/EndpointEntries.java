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
import org.micabarrow.routing.EndpointRegistration;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What endpoints' entries change in the list of endpoints: entries that come late, cannot be used, or lapsed while the store was
 * away. Not safe for several threads at once.
 */
final class EndpointEntries {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointEntries.class);

    private final RecordDecoder decoder;
    private final DropDoubts doubts = new DropDoubts();
    private final NewestEntries newestEntries = new NewestEntries();

    /** The keys whose entry cannot be used: that is said once, however often it is written. */
    private final Set<String> unusable = new HashSet<>();

    EndpointEntries(RecordDecoder decoder) {
        this.decoder = decoder;
    }

    // -- the store

    /** The store answers again after it did not. */
    void regained(long nowMillis) {
        doubts.regained(nowMillis);
    }

    /** A list without the endpoints whose entries were doubted and have not come back in time; empty if there are none. */
    Optional<Map<String, EndpointRegistration>> withoutOverdue(Map<String, EndpointRegistration> endpoints, long nowMillis) {
        List<String> overdue = doubts.takeOverdue(nowMillis);
        if (overdue.isEmpty()) {
            return Optional.empty();
        }
        Map<String, EndpointRegistration> left = new HashMap<>(endpoints);
        overdue.forEach(id -> {
            left.remove(id);
            LOG.info("event=endpoint_gone endpoint={} after=doubt", id);
        });
        return Optional.of(left);
    }

    /** A wait, or the time until the first doubt ends if that is less. */
    Duration untilDoubtEnds(Duration wait, long nowMillis) {
        OptionalLong end = doubts.firstEndMillis();
        return end.isEmpty() ? wait : Duration.ofMillis(Math.clamp(end.getAsLong() - nowMillis, 0, wait.toMillis()));
    }

    // -- records

    /** Records are read at once, each of which {@link #take} is given next. */
    void read(List<StoredRecord> records, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        Set<String> drops = records.stream()
                .filter(StoredRecord::dropped)
                .map(StoredRecord::key)
                .filter(endpoints::containsKey)
                .collect(Collectors.toSet());
        doubts.read(drops, endpoints.size(), nowMillis);
    }

    /** Takes a record into account, in the list that is given; returns what to log, if anything changes. */
    Optional<String> take(StoredRecord record, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        return record.dropped() ? dropped(record, endpoints, nowMillis) : written(record, endpoints, nowMillis);
    }

    private Optional<String> dropped(StoredRecord record, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        String id = record.key();
        EndpointRegistration known = endpoints.get(id);
        if (known != null && doubts.doubt(known, nowMillis)) {
            return Optional.of("event=endpoint_doubted endpoint=" + id + " offset=" + record.offset());
        }
        doubts.forget(id);
        unusable.remove(id);
        return endpoints.remove(id) == null
                ? Optional.empty()
                : Optional.of("event=endpoint_gone endpoint=" + id + " offset=" + record.offset());
    }

    private Optional<String> written(StoredRecord record, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        return switch (decoder.endpoint(record)) {
            case Result.Failure<EndpointRegistration>(Fault fault) -> refused(record, fault.message(), endpoints);
            case Result.Success<EndpointRegistration>(EndpointRegistration entry)
            when newestEntries.lacking(entry) -> refused(record, "it does not tell the endpoint's start", endpoints);
            case Result.Success<EndpointRegistration>(EndpointRegistration entry)
            when newestEntries.over(entry, nowMillis) ->
                Optional.of("event=entry_written_late endpoint=" + entry.id() + " started=" + started(entry)
                        + " leaving=" + entry.leaving() + " offset=" + record.offset());
            case Result.Success<EndpointRegistration>(EndpointRegistration entry) -> taken(record, entry, endpoints);
        };
    }

    /**
     * An entry that cannot be used takes the place of the one before: that says what was, and nobody knows of what the endpoint
     * does now, whether it leaves or is gone.
     */
    private Optional<String> refused(StoredRecord record, String why, Map<String, EndpointRegistration> endpoints) {
        String id = record.key();
        doubts.forget(id);
        boolean first = unusable.add(id);
        boolean known = endpoints.remove(id) != null;
        return first || known
                ? Optional.of("event=entry_refused endpoint=" + record.shownKey() + " known=" + known + " offset="
                        + record.offset() + " why=\"" + why + "\"")
                : Optional.empty();
    }

    private Optional<String> taken(StoredRecord record, EndpointRegistration entry, Map<String, EndpointRegistration> endpoints) {
        doubts.forget(entry.id());
        unusable.remove(entry.id());
        EndpointRegistration before = endpoints.put(entry.id(), entry);
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

    private static String started(EndpointRegistration entry) {
        return entry.startedMillis().isEmpty()
                ? "-"
                : String.valueOf(entry.startedMillis().getAsLong());
    }
}
