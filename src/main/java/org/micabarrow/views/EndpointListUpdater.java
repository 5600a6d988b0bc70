package org.micabarrow.views;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.micabarrow.routing.EndpointRegistration;
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
    private final PendingRemovals pendingRemovals = new PendingRemovals();
    private final LateEntryFilter lateEntries = new LateEntryFilter();
    private final UnconfirmedEntries unconfirmed = new UnconfirmedEntries();

    /** Keys with an invalid entry. An invalid entry is logged once per key, however often it is written. */
    private final Set<String> invalidKeys = new HashSet<>();

    private volatile Consumer<EndpointRegistration> coldListener = registration -> {};

    EndpointListUpdater(RecordDecoder decoder) {
        this.decoder = decoder;
    }

    /** Sets the listener for registrations that state a cold time, called before the endpoint is listed. */
    void onColdRegistration(Consumer<EndpointRegistration> listener) {
        coldListener = listener;
    }

    // -- store outages

    /** Records that the store is reachable again after an outage. */
    void onStoreReachable(long nowMillis) {
        pendingRemovals.onStoreReachable(nowMillis);
    }

    /**
     * Returns the list without the endpoints whose pending removal is due, and with those whose entries of a restored
     * store have lasted; empty if there are none.
     */
    Optional<Map<String, EndpointRegistration>> withDueChanges(
            Map<String, EndpointRegistration> endpoints, long nowMillis) {
        List<String> removed = pendingRemovals.removeDue(nowMillis);
        List<StoredRecord> confirmed = unconfirmed.removeConfirmed(nowMillis);
        if (removed.isEmpty() && confirmed.isEmpty()) {
            return Optional.empty();
        }
        Map<String, EndpointRegistration> after = new HashMap<>(endpoints);
        removed.forEach(id -> {
            after.remove(id);
            LOG.info("event=endpoint_gone endpoint={} after=doubt", id);
        });
        confirmed.forEach(
                record -> apply(record, Continuity.CONTINUED, after, nowMillis).ifPresent(LOG::info));
        return Optional.of(after);
    }

    /** Returns the given wait, shortened to the time until the first pending removal is due. */
    Duration untilNextRemoval(Duration wait, long nowMillis) {
        OptionalLong dueMillis = pendingRemovals.nextDueMillis();
        return dueMillis.isEmpty()
                ? wait
                : Duration.ofMillis(Math.clamp(dueMillis.getAsLong() - nowMillis, 0, wait.toMillis()));
    }

    // -- records

    /**
     * The effect of a batch of records.
     *
     * @param endpoints the resulting list
     * @param changed the records that changed anything
     * @param logLines what to log about them
     */
    record Update(Map<String, EndpointRegistration> endpoints, List<StoredRecord> changed, List<String> logLines) {}

    /** Applies a batch of records to a list of endpoints, which stays as it is. */
    Update apply(
            List<StoredRecord> records,
            Continuity continuity,
            Map<String, EndpointRegistration> listed,
            long nowMillis) {
        if (continuity == Continuity.RESTORED) {
            onStoreReachable(nowMillis);
            lateEntries.onStoreRestored(nowMillis);
        }
        prepareBatch(records, listed, nowMillis);
        Map<String, EndpointRegistration> endpoints = new HashMap<>(listed);
        List<StoredRecord> changed = new ArrayList<>();
        List<String> logLines = new ArrayList<>();
        records.forEach(
                record -> apply(record, continuity, endpoints, nowMillis).ifPresent(line -> {
                    changed.add(record);
                    logLines.add(line);
                }));
        return new Update(endpoints, changed, logLines);
    }

    private void prepareBatch(List<StoredRecord> records, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        Set<String> removedIds = records.stream()
                .filter(StoredRecord::isTombstone)
                .map(StoredRecord::key)
                .filter(endpoints::containsKey)
                .collect(Collectors.toSet());
        pendingRemovals.prepareBatch(removedIds, endpoints.size(), nowMillis);
    }

    /** Applies a record to the given endpoints. Returns the line to log if anything changed. */
    private Optional<String> apply(
            StoredRecord record, Continuity continuity, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        unconfirmed.remove(record.key());
        return record.isTombstone()
                ? applyTombstone(record, continuity, endpoints, nowMillis)
                : applyEntry(record, continuity, endpoints, nowMillis);
    }

    private Optional<String> applyTombstone(
            StoredRecord record, Continuity continuity, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        String id = record.key();
        EndpointRegistration listed = endpoints.get(id);
        if (listed != null && pendingRemovals.defer(listed, continuity, nowMillis)) {
            return Optional.of("event=endpoint_doubted endpoint=" + id + " " + EraOffset.toLog(record.offset()));
        }
        pendingRemovals.cancel(id);
        invalidKeys.remove(id);
        return endpoints.remove(id) == null
                ? Optional.empty()
                : Optional.of("event=endpoint_gone endpoint=" + id + " " + EraOffset.toLog(record.offset()));
    }

    private Optional<String> applyEntry(
            StoredRecord record, Continuity continuity, Map<String, EndpointRegistration> endpoints, long nowMillis) {
        return switch (decoder.decodeEndpointRegistration(record)) {
            case Result.Failure<EndpointRegistration>(Fault fault) -> removeInvalid(record, fault.message(), endpoints);
            case Result.Success<EndpointRegistration>(EndpointRegistration entry)
            when lateEntries.lacksStart(entry) ->
                removeInvalid(record, "the start time of the endpoint is missing", endpoints);
            case Result.Success<EndpointRegistration>(EndpointRegistration entry)
            when continuity == Continuity.RESTORED && lateEntries.isNotNewer(entry) ->
                keepKnown(record, entry, endpoints, nowMillis);
            case Result.Success<EndpointRegistration>(EndpointRegistration entry)
            when lateEntries.isSuperseded(entry, nowMillis) ->
                Optional.of("event=entry_written_late endpoint=" + entry.id() + " started=" + startedText(entry)
                        + " leaving=" + entry.draining() + " " + EraOffset.toLog(record.offset()));
            case Result.Success<EndpointRegistration>(EndpointRegistration entry) ->
                applyValid(record, entry, endpoints);
        };
    }

    /** Keeps what is known of an endpoint, which an older copy of the store does not know better. */
    private Optional<String> keepKnown(
            StoredRecord record,
            EndpointRegistration entry,
            Map<String, EndpointRegistration> endpoints,
            long nowMillis) {
        EndpointRegistration listed = endpoints.get(entry.id());
        if (listed == null) {
            unconfirmed.add(record, nowMillis);
        } else if (entry.sameContentAs(listed)) {
            pendingRemovals.cancel(entry.id());
            return Optional.empty();
        }
        return Optional.of("event=entry_outdated endpoint=" + entry.id() + " leaving=" + entry.draining() + " listed="
                + (listed != null) + " " + EraOffset.toLog(record.offset()));
    }

    /**
     * Removes an endpoint whose new entry is invalid. Its previous entry is outdated, and it is unknown whether the
     * endpoint is still running or draining.
     */
    private Optional<String> removeInvalid(
            StoredRecord record, String why, Map<String, EndpointRegistration> endpoints) {
        String id = record.key();
        pendingRemovals.cancel(id);
        boolean firstTime = invalidKeys.add(id);
        boolean listed = endpoints.remove(id) != null;
        return firstTime || listed
                ? Optional.of("event=entry_refused endpoint=" + record.loggableKey() + " known=" + listed + " "
                        + EraOffset.toLog(record.offset()) + " why=\"" + why + "\"")
                : Optional.empty();
    }

    private Optional<String> applyValid(
            StoredRecord record, EndpointRegistration entry, Map<String, EndpointRegistration> endpoints) {
        pendingRemovals.cancel(entry.id());
        invalidKeys.remove(entry.id());
        if (entry.coldLeftMillis() > 0) {
            coldListener.accept(entry);
        }
        EndpointRegistration previous = endpoints.put(entry.id(), entry);
        if (previous != null && entry.sameContentAs(previous)) {
            return Optional.empty();
        }
        boolean restarted = previous != null && !previous.start().equals(entry.start());
        String event = restarted ? "endpoint_restarted" : "endpoint_changed";
        return Optional.of("event=" + event + " endpoint=" + entry.id() + " address=" + entry.address() + " leaving="
                + entry.draining() + " models="
                + StoredRecord.loggable(entry.models().toString()) + " started=" + startedText(entry) + " "
                + EraOffset.toLog(record.offset()));
    }

    private static String startedText(EndpointRegistration entry) {
        return entry.startedMillis().isEmpty()
                ? "-"
                : String.valueOf(entry.startedMillis().getAsLong());
    }
}
