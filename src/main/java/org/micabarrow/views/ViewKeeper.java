package org.micabarrow.views;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.micabarrow.routing.EndpointEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains copies of the store's topics and publishes the resulting view. Records may come from the store or from
 * peers, in any order. Changes are made under one lock; readers see immutable views.
 */
public final class ViewKeeper {

    private static final Logger LOG = LoggerFactory.getLogger(ViewKeeper.class);

    private final LongSupplier steadyMillis;
    private final Map<Topic, TopicCopy> copies = new HashMap<>();
    private final EndpointListUpdater entries;
    private final OperatorState operator;
    private final OperatorFreshness knowledge = new OperatorFreshness();
    private volatile LastChanges changes = new LastChanges(0, 0, 0);
    private volatile View view = View.empty();
    private volatile Consumer<List<StoredRecord>> crashNews = news -> {};

    /**
     * Creates an instance without any records.
     *
     * @param decoder decodes records
     * @param monotonicMillis a monotonic clock, in milliseconds
     */
    public ViewKeeper(RecordDecoder decoder, LongSupplier steadyMillis) {
        this(decoder, steadyMillis, System::currentTimeMillis);
    }

    /**
     * Creates an instance without any records, with a given time of day.
     *
     * @param decoder decodes records
     * @param monotonicMillis a monotonic clock, in milliseconds
     * @param unixMillis the time of day, in milliseconds, which may be off by some seconds
     */
    ViewKeeper(RecordDecoder decoder, LongSupplier steadyMillis, LongSupplier unixMillis) {
        Objects.requireNonNull(decoder, "decoder is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        this.operator =
                new OperatorState(decoder, steadyMillis, Objects.requireNonNull(unixMillis, "unixMillis is null"));
        this.entries = new EndpointListUpdater(decoder);
        for (Topic topic : Topic.values()) {
            copies.put(topic, new TopicCopy());
        }
    }

    /**
     * The current view.
     *
     * @return an immutable view
     */
    public View view() {
        return view;
    }

    /**
     * The offsets up to which the records that changed the view are known.
     *
     * @return the offsets
     */
    public LastChanges changes() {
        return changes;
    }

    /**
     * Sets the listener for new records of {@link Topic#CRASHES}, which do not change the view.
     *
     * @param listener receives the records; it is called under the lock of this object and must not block
     */
    public void onCrashNews(Consumer<List<StoredRecord>> learns) {
        crashNews = Objects.requireNonNull(learns, "learns is null");
    }

    // -- records

    /**
     * Applies records of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param readTo the offset up to which the topic is now known
     */
    public synchronized void apply(Topic topic, Collection<StoredRecord> records, long readTo) {
        takeLacking(topic, records);
        publish(topic, copies.get(topic).apply(records, readTo));
        knowledge.manifestLacking(operator.misses(end(Topic.OPERATOR)));
    }

    /**
     * Applies the latest records of all keys of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param endBeforeRead the end of the topic before the first of them was read
     */
    public synchronized void replace(Topic topic, Collection<StoredRecord> records, long takenAt) {
        takeLacking(topic, records);
        publish(topic, copies.get(topic).replace(records, takenAt));
        if (topic == Topic.OPERATOR) {
            operator.loaded();
        }
        knowledge.manifestLacking(operator.misses(end(Topic.OPERATOR)));
    }

    /**
     * Records that all operator records up to a time have been applied. Must be called after the records were applied.
     *
     * @param asOfMillis the time on the monotonic clock; an earlier time than the known one has no effect
     */
    public void confirmOperator(long asOfMillis) {
        knowledge.confirm(asOfMillis);
    }

    /**
     * The time up to which all operator records are known. A view that is obtained after this call contains them.
     *
     * @return the time on the monotonic clock; empty if there is none, and while a manifest is known to be missing
     */
    public OptionalLong operatorAsOfMillis() {
        return knowledge.asOf();
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
     * Returns the latest records of a topic at or after an offset, together with the offset to continue from,
     * atomically: if the end were read after the records, a process that continues from it would miss records that
     * arrived in between. For operator records, the batch also has the time up to which all of them are known.
     *
     * @param topic the topic
     * @param offset the offset before which the requesting process knows all records
     * @return the records, and the offset before which that process then knows all of them
     */
    public synchronized TopicReader.Batch since(Topic topic, long offset) {
        TopicCopy copy = copies.get(topic);
        List<StoredRecord> records = copy.since(offset);
        return topic == Topic.OPERATOR
                ? new TopicReader.Batch(operator.withHidden(records, offset), copy.endFor(offset), operatorAsOfMillis())
                : new TopicReader.Batch(records, copy.endFor(offset));
    }

    /**
     * The offset from which a topic is to be requested from a peer: the offset to read from next, or that of a missing
     * manifest.
     *
     * @param topic the topic
     * @return the offset
     */
    public synchronized long askFrom(Topic topic) {
        long end = end(topic);
        return topic == Topic.OPERATOR ? Math.min(end, lackingManifest().orElse(end)) : end;
    }

    /**
     * Records that a topic of the store is readable again after an outage.
     *
     * @param topic the topic
     */
    public synchronized void regained(Topic topic) {
        if (topic == Topic.ENDPOINTS) {
            entries.regained(steadyMillis.getAsLong());
        }
    }

    /** Removes the endpoints whose pending removal is due. */
    public synchronized void settleDoubts() {
        entries.withoutOverdue(view.endpoints(), steadyMillis.getAsLong())
                .ifPresent(left -> view = view.withEndpoints(left));
    }

    /**
     * Shortens a wait so that it ends when the first pending removal is due.
     *
     * @param wait the wait
     * @return the wait, or the time until the first pending removal is due if that is less
     */
    synchronized Duration untilDoubtEnds(Duration wait) {
        return entries.untilDoubtEnds(wait, steadyMillis.getAsLong());
    }

    // -- updates of the view

    private void publish(Topic topic, List<StoredRecord> news) {
        if (news.isEmpty()) {
            return;
        }
        switch (topic) {
            case OPERATOR -> {
                List<StoredRecord> forAgents =
                        news.stream().filter(this::operatorSaid).toList();
                changes = changes.withOperator(news, forAgents);
            }
            case ENDPOINTS -> endpointsSaid(news);
            case NAMED -> view = operator.kept(news, view);
            case CRASHES -> crashNews.accept(news);
        }
    }

    /** Applies an operator record, and returns whether agents use it. */
    private boolean operatorSaid(StoredRecord record) {
        OperatorState.Change change = operator.said(record, view);
        view = change.view();
        return change.forAgents();
    }

    /**
     * Applies a missing manifest, which the topic copy ignores because it holds an older one with a greater offset.
     * This happens before the other records are applied, so that the older one is never active, not even briefly.
     */
    private void takeLacking(Topic topic, Collection<StoredRecord> records) {
        OptionalLong lacking = topic == Topic.OPERATOR ? lackingManifest() : OptionalLong.empty();
        lacking.ifPresent(offset ->
                records.stream().filter(record -> record.offset() == offset).forEach(this::operatorSaid));
    }

    /**
     * Adds a weight version that a peer reported as a target.
     *
     * @param model the model
     * @param version the version; has no effect if a newer one is known
     */
    public synchronized void want(String model, long version) {
        view = operator.wanted(model, version, view);
    }

    // -- records saved by processes

    /** The offset of a manifest known to be newer than the active one; empty if there is none. */
    synchronized OptionalLong lackingManifest() {
        return operator.lackingManifest(end(Topic.OPERATOR));
    }

    /**
     * Records the position of the newest manifest as reported by a peer that has it. A process that does not need the
     * manifest itself still saves its position for others.
     *
     * @param position the position
     */
    public synchronized void manifestStands(ManifestPlace place) {
        operator.manifestStands(place);
    }

    /**
     * The position of the newest known manifest.
     *
     * @return the position, empty if none is known
     */
    public synchronized Optional<ManifestPlace> newestManifest() {
        return operator.newestManifest();
    }

    /** The newest manifest, if it is not known to be saved. */
    synchronized Optional<Unkept> unkeptManifest() {
        return operator.unkeptManifest(copies.get(Topic.NAMED));
    }

    /** Whether the operator records have been read. */
    synchronized boolean knowsOperator() {
        return operator.isLoaded();
    }

    /** The newest versions that are not known to be saved in the store under their own keys. */
    synchronized List<Unkept> unkept() {
        return operator.unkept(copies.get(Topic.NAMED));
    }

    // -- endpoints

    private void endpointsSaid(List<StoredRecord> news) {
        Map<String, EndpointEntry> endpoints = new HashMap<>(view.endpoints());
        List<StoredRecord> changing = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        long now = steadyMillis.getAsLong();
        entries.read(news, endpoints, now);
        news.forEach(record -> entries.take(record, endpoints, now).ifPresent(line -> {
            changing.add(record);
            lines.add(line);
        }));
        if (!changing.isEmpty()) {
            view = view.withEndpoints(endpoints);
            changes = changes.withEndpoints(changing);
            lines.forEach(LOG::info);
        }
    }
}
