package org.micabarrow.views;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.micabarrow.routing.EndpointEntry;
import org.micabarrow.routing.RouteManifest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.NamedVersions.Unkept;
import org.micabarrow.views.RecordDecoder.OperatorRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps copies of the store's two topics and publishes the view that follows from them. Records may come from the store
 * or from peers, in any order; changes are made under one lock and readers see immutable views.
 */
public final class ViewKeeper {

    private static final Logger LOG = LoggerFactory.getLogger(ViewKeeper.class);

    private final RecordDecoder decoder;
    private final LongSupplier steadyMillis;
    private final LongSupplier unixMillis;
    private final Map<Topic, TopicCopy> copies = new HashMap<>();
    private final DropDoubts doubts = new DropDoubts();
    private final NewestEntries newestEntries = new NewestEntries();

    /** The keys whose entry cannot be used: that is said once, however often it is written. */
    private final Set<String> refusedEntries = new HashSet<>();

    private boolean loaded;
    private volatile View view = View.empty();

    /**
     * Makes a keeper that knows nothing yet.
     *
     * @param decoder reads records
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public ViewKeeper(RecordDecoder decoder, LongSupplier steadyMillis) {
        this(decoder, steadyMillis, System::currentTimeMillis);
    }

    /**
     * Makes a keeper that knows nothing yet, with a time of day of its own.
     *
     * @param decoder reads records
     * @param steadyMillis a clock that never steps, in milliseconds
     * @param unixMillis the time of day, in milliseconds, which may be some seconds off
     */
    ViewKeeper(RecordDecoder decoder, LongSupplier steadyMillis, LongSupplier unixMillis) {
        this.decoder = Objects.requireNonNull(decoder, "decoder is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        this.unixMillis = Objects.requireNonNull(unixMillis, "unixMillis is null");
        for (Topic topic : Topic.values()) {
            copies.put(topic, new TopicCopy());
        }
    }

    /** The topics that views are made of. */
    public enum Topic {
        /** What operators wrote: the manifest and named weight versions. */
        OPERATOR,
        /** What endpoints wrote about themselves. */
        ENDPOINTS,
        /** The weight versions that processes of this system saw being named, each under a key of its own. */
        NAMED
    }

    /**
     * The view now.
     *
     * @return an immutable view
     */
    public View view() {
        return view;
    }

    // -- records

    /**
     * Takes records of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param readTo the offset up to which the topic is now known
     */
    public synchronized void apply(Topic topic, Collection<StoredRecord> records, long readTo) {
        publish(topic, copies.get(topic).apply(records, readTo));
    }

    /**
     * Takes the newest records of all keys of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param takenAt the topic's end before the first of them was read
     */
    public synchronized void replace(Topic topic, Collection<StoredRecord> records, long takenAt) {
        publish(topic, copies.get(topic).replace(records, takenAt));
        loaded |= topic == Topic.OPERATOR;
    }

    /**
     * The offset from which a topic is to be read next.
     *
     * @param topic the topic
     * @return the offset
     */
    public synchronized long end(Topic topic) {
        return copies.get(topic).end();
    }

    /**
     * The newest records of a topic at or after an offset.
     *
     * @param topic the topic
     * @param offset the offset
     * @return the records
     */
    public synchronized List<StoredRecord> since(Topic topic, long offset) {
        return copies.get(topic).since(offset);
    }

    /**
     * The store answers again after it did not.
     *
     * @param topic the topic that can be read again
     */
    public synchronized void regained(Topic topic) {
        if (topic == Topic.ENDPOINTS) {
            doubts.regained(steadyMillis.getAsLong());
        }
    }

    /** Removes endpoints whose entries were doubted and have not come back in time. */
    public synchronized void settleDoubts() {
        List<String> overdue = doubts.takeOverdue(steadyMillis.getAsLong());
        if (overdue.isEmpty()) {
            return;
        }
        Map<String, EndpointEntry> endpoints = new HashMap<>(view.endpoints());
        overdue.forEach(id -> {
            endpoints.remove(id);
            LOG.info("event=endpoint_gone endpoint={} after=doubt", id);
        });
        view = view.withEndpoints(endpoints);
    }

    // -- views

    private void publish(Topic topic, List<StoredRecord> news) {
        if (news.isEmpty()) {
            return;
        }
        switch (topic) {
            case OPERATOR -> news.forEach(this::operatorSaid);
            case ENDPOINTS -> endpointsSaid(news);
            case NAMED -> versionsKept(news);
        }
    }

    private void operatorSaid(StoredRecord record) {
        if (record.dropped()) {
            LOG.warn("event=operator_record_dropped key={} offset={} kept=last", record.key(), record.offset());
            return;
        }
        switch (decoder.operator(record)) {
            case Result.Failure<OperatorRecord>(Fault fault) -> refused(record, fault);
            case Result.Success<OperatorRecord>(OperatorRecord.ManifestSet(RouteManifest manifest)) ->
                manifestSet(record, manifest);
            case Result.Success<OperatorRecord>(
                    OperatorRecord.WeightsNamed(String model, long version, OptionalLong ignored)) ->
                weightsNamed(record, model, version);
            case Result.Success<OperatorRecord>(OperatorRecord.Unused ignored) ->
                LOG.debug("event=record_unused key={}", record.key());
        }
    }

    /** Manifests only go up: a write that got no answer may be done seconds later, after that of a newer manifest. */
    private void manifestSet(StoredRecord record, RouteManifest manifest) {
        View before = view;
        long inForce = before.manifest().map(RouteManifest::version).orElse(-1L);
        if (manifest.version() < inForce) {
            LOG.warn(
                    "event=manifest_written_late version={} offset={} kept={}",
                    manifest.version(),
                    record.offset(),
                    inForce);
            return;
        }
        view = before.withManifest(manifest, record.offset());
        LOG.info(
                "event=manifest_in_force version={} offset={} before={}", manifest.version(), record.offset(), inForce);
    }

    private void weightsNamed(StoredRecord record, String model, long version) {
        long newest = view.newestTarget(model).map(View.Target::version).orElse(0L);
        long now = steadyMillis.getAsLong();
        if (!want(model, version, now, "store offset=" + record.offset()) && version < newest) {
            LOG.warn(
                    "event=weights_named_late model={} version={} offset={} newest={}",
                    model,
                    version,
                    record.offset(),
                    newest);
        }
    }

    /**
     * Takes note of a weight version that is wanted, from a peer that has heard of it.
     *
     * @param model the model
     * @param version the version; an older one than is known changes nothing
     */
    public synchronized void want(String model, long version) {
        want(model, version, steadyMillis.getAsLong(), "peer");
    }

    /** Takes note of a version and tells whether it is newer than those known; the source is for the log. */
    private boolean want(String model, long version, long sinceMillis, String source) {
        View after = view.withTarget(model, new View.Target(version, sinceMillis, loaded));
        if (after == view) {
            return false;
        }
        view = after;
        LOG.info(
                "event=weights_named model={} version={} atStart={} msAgo={} from={}",
                model,
                version,
                !loaded,
                steadyMillis.getAsLong() - sinceMillis,
                source);
        return true;
    }

    // -- weight versions that processes keep in the store

    /**
     * Takes note of the newest version of each model alone: when the others were named is not known, so that they must not seem
     * to be good to answer for a while.
     */
    private void versionsKept(List<StoredRecord> news) {
        Map<String, OperatorRecord.WeightsNamed> newest = new HashMap<>();
        news.stream()
                .filter(record -> !record.dropped())
                .map(decoder::operator)
                .flatMap(said -> said.toOptional().stream())
                .forEach(said -> {
                    if (said instanceof OperatorRecord.WeightsNamed named) {
                        newest.merge(named.model(), named, (a, b) -> a.version() >= b.version() ? a : b);
                    }
                });
        newest.values().forEach(named -> want(named.model(), named.version(), learnedMillis(named), "kept"));
    }

    /**
     * When a version was named, on the steady clock. A process that starts while a version is due would give older ones the
     * whole bound once more: with an agent and its entries started again 5 s after the naming, up to 13 s instead of 8.
     */
    private long learnedMillis(OperatorRecord.WeightsNamed named) {
        long unixNow = unixMillis.getAsLong();
        long ago = unixNow - named.namedMillis().orElse(unixNow);
        return steadyMillis.getAsLong() - Math.max(0, ago);
    }

    /** Whether what operators wrote has been read. */
    synchronized boolean knowsOperator() {
        return loaded;
    }

    /** The newest versions that are not known to lie in the store under a key of their own. */
    synchronized List<Unkept> unkept() {
        TopicCopy kept = copies.get(Topic.NAMED);
        List<Unkept> all = new ArrayList<>();
        view.targets().forEach((model, named) -> {
            View.Target newest = named.getLast();
            if (kept.record(VersionKeys.of(model, newest.version())).isEmpty()) {
                List<String> outdated = VersionKeys.outdated(kept.keys(), model, newest.version());
                all.add(new Unkept(model, newest.version(), namedMillis(newest), outdated));
            }
        });
        return all;
    }

    private OptionalLong namedMillis(View.Target target) {
        long ago = steadyMillis.getAsLong() - target.learnedMillis();
        return target.seenNamed() ? OptionalLong.of(unixMillis.getAsLong() - ago) : OptionalLong.empty();
    }

    // -- endpoints

    private void endpointsSaid(List<StoredRecord> news) {
        Map<String, EndpointEntry> endpoints = new HashMap<>(view.endpoints());
        List<String> changes = new ArrayList<>();
        for (StoredRecord record : news) {
            (record.dropped() ? entryDropped(record, endpoints) : entryWritten(record, endpoints))
                    .ifPresent(changes::add);
        }
        view = view.withEndpoints(endpoints);
        changes.forEach(LOG::info);
    }

    /** Takes a dropped entry into account; returns what to log, if anything changes. */
    private Optional<String> entryDropped(StoredRecord record, Map<String, EndpointEntry> endpoints) {
        String id = record.key();
        EndpointEntry known = endpoints.get(id);
        if (known != null && doubts.doubt(known, steadyMillis.getAsLong())) {
            return Optional.of("event=endpoint_doubted endpoint=" + id + " offset=" + record.offset());
        }
        doubts.forget(id);
        refusedEntries.remove(id);
        return endpoints.remove(id) == null
                ? Optional.empty()
                : Optional.of("event=endpoint_gone endpoint=" + id + " offset=" + record.offset());
    }

    /** Takes a written entry into account; returns what to log, if anything changes. */
    private Optional<String> entryWritten(StoredRecord record, Map<String, EndpointEntry> endpoints) {
        return switch (decoder.endpoint(record)) {
            case Result.Failure<EndpointEntry>(Fault fault) -> entryRefused(record, fault.message(), endpoints);
            case Result.Success<EndpointEntry>(EndpointEntry entry)
            when newestEntries.lacking(entry) ->
                entryRefused(record, "it does not tell the endpoint's start", endpoints);
            case Result.Success<EndpointEntry>(EndpointEntry entry)
            when newestEntries.over(entry, steadyMillis.getAsLong()) ->
                Optional.of("event=entry_written_late endpoint=" + entry.id() + " started=" + started(entry)
                        + " leaving=" + entry.leaving() + " offset=" + record.offset());
            case Result.Success<EndpointEntry>(EndpointEntry entry) -> entryTaken(record, entry, endpoints);
        };
    }

    /**
     * An entry that cannot be used takes the place of the one before: that says what was, and nobody knows of what the endpoint
     * does now, whether it leaves or is gone.
     */
    private Optional<String> entryRefused(StoredRecord record, String why, Map<String, EndpointEntry> endpoints) {
        String id = record.key();
        doubts.forget(id);
        boolean first = refusedEntries.add(id);
        boolean known = endpoints.remove(id) != null;
        return first || known
                ? Optional.of("event=entry_refused endpoint=" + record.shownKey() + " known=" + known + " offset="
                        + record.offset() + " why=\"" + why + "\"")
                : Optional.empty();
    }

    private Optional<String> entryTaken(
            StoredRecord record, EndpointEntry entry, Map<String, EndpointEntry> endpoints) {
        doubts.forget(entry.id());
        refusedEntries.remove(entry.id());
        EndpointEntry before = endpoints.put(entry.id(), entry);
        if (entry.equals(before)) {
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

    private static void refused(StoredRecord record, Fault fault) {
        LOG.error("event=record_refused key={} offset={} why=\"{}\"", record.shownKey(), record.offset(), fault);
    }
}
