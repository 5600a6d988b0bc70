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
import org.micabarrow.routing.EndpointRegistration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps copies of the store's two topics and publishes the view that follows from them. Records may come from the store
 * or from peers, in any order; changes are made under one lock and readers see immutable views.
 */
public final class ViewMaintainer {

    private static final Logger LOG = LoggerFactory.getLogger(ViewMaintainer.class);

    private final LongSupplier steadyMillis;
    private final Map<Topic, TopicCopy> copies = new HashMap<>();
    private final EndpointEntries entries;
    private final OperatorBeliefs operator;
    private final OperatorKnowledge knowledge = new OperatorKnowledge();
    private volatile ChangeOffsets changes = new ChangeOffsets(0, 0, 0);
    private volatile View view = View.empty();
    private volatile Consumer<List<StoredRecord>> crashNews = news -> {};

    /**
     * Makes a keeper that knows nothing yet.
     *
     * @param decoder reads records
     * @param steadyMillis a clock that never steps, in milliseconds
     */
    public ViewMaintainer(RecordDecoder decoder, LongSupplier steadyMillis) {
        this(decoder, steadyMillis, System::currentTimeMillis);
    }

    /**
     * Makes a keeper that knows nothing yet, with a time of day of its own.
     *
     * @param decoder reads records
     * @param steadyMillis a clock that never steps, in milliseconds
     * @param unixMillis the time of day, in milliseconds, which may be some seconds off
     */
    ViewMaintainer(RecordDecoder decoder, LongSupplier steadyMillis, LongSupplier unixMillis) {
        Objects.requireNonNull(decoder, "decoder is null");
        this.steadyMillis = Objects.requireNonNull(steadyMillis, "steadyMillis is null");
        this.operator =
                new OperatorBeliefs(decoder, steadyMillis, Objects.requireNonNull(unixMillis, "unixMillis is null"));
        this.entries = new EndpointEntries(decoder);
        for (Topic topic : Topic.values()) {
            copies.put(topic, new TopicCopy());
        }
    }

    /**
     * The view now.
     *
     * @return an immutable view
     */
    public View view() {
        return view;
    }

    /**
     * Up to where the records are known that changed the view.
     *
     * @return the offsets
     */
    public ChangeOffsets changes() {
        return changes;
    }

    /**
     * Has somebody learn of news in {@link Topic#CRASHES}, which change no view.
     *
     * @param learns takes the records; called under the keeper's lock, so it must not wait
     */
    public void onCrashNews(Consumer<List<StoredRecord>> learns) {
        crashNews = Objects.requireNonNull(learns, "learns is null");
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
        takeLacking(topic, records);
        publish(topic, copies.get(topic).apply(records, readTo));
        knowledge.manifestLacking(operator.misses(end(Topic.OPERATOR)));
    }

    /**
     * Takes the newest records of all keys of a topic.
     *
     * @param topic the topic
     * @param records the records
     * @param takenAt the topic's end before the first of them was read
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
     * Takes note that all that operators wrote up to a moment has been taken; to be called after the records were.
     *
     * @param asOfMillis the moment on the steady clock; an earlier one than is known changes nothing
     */
    public void confirmOperator(long asOfMillis) {
        knowledge.confirm(asOfMillis);
    }

    /**
     * Up to which moment all that operators wrote is known. A view that is taken after this holds it.
     *
     * @return the moment on the steady clock; empty if there is none, and while a manifest is known to be lacking
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
     * The newest records of a topic at or after an offset, and where to read on after them, both at one moment: with an end that
     * was taken after the records, whoever reads on from there would never get one that came in between. Of operators' records it
     * is told, too, up to which moment they reach.
     *
     * @param topic the topic
     * @param offset the offset, before which the asker knows all records
     * @return the records, and the offset before which the asker then knows all
     */
    public synchronized TopicReader.Batch since(Topic topic, long offset) {
        TopicCopy copy = copies.get(topic);
        List<StoredRecord> records = copy.since(offset);
        return topic == Topic.OPERATOR
                ? new TopicReader.Batch(operator.withHidden(records, offset), copy.endFor(offset), operatorAsOfMillis())
                : new TopicReader.Batch(records, copy.endFor(offset));
    }

    /**
     * From where on a peer is to be asked for a topic: from where it is to be read next, or from a manifest on that is lacking.
     *
     * @param topic the topic
     * @return the offset
     */
    public synchronized long askFrom(Topic topic) {
        long end = end(topic);
        return topic == Topic.OPERATOR ? Math.min(end, lackingManifest().orElse(end)) : end;
    }

    /**
     * The store answers again after it did not.
     *
     * @param topic the topic that can be read again
     */
    public synchronized void regained(Topic topic) {
        if (topic == Topic.ENDPOINTS) {
            entries.regained(steadyMillis.getAsLong());
        }
    }

    /** Removes endpoints whose entries were doubted and have not come back in time. */
    public synchronized void settleDoubts() {
        entries.withoutOverdue(view.endpoints(), steadyMillis.getAsLong())
                .ifPresent(left -> view = view.withEndpoints(left));
    }

    /**
     * Shortens a wait after which doubted endpoints are to be looked at.
     *
     * @param wait the wait
     * @return the wait, or the time until the first doubt ends if that is less
     */
    synchronized Duration untilDoubtEnds(Duration wait) {
        return entries.untilDoubtEnds(wait, steadyMillis.getAsLong());
    }

    // -- views

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

    /** Takes what operators wrote, and tells whether agents act on it. */
    private boolean operatorSaid(StoredRecord record) {
        OperatorBeliefs.Change change = operator.said(record, view);
        view = change.view();
        return change.forAgents();
    }

    /**
     * Takes the manifest that is lacking: the copy passes it over, since an older one stands after it. It comes before the others,
     * or an entry would go by the older one for an instant.
     */
    private void takeLacking(Topic topic, Collection<StoredRecord> records) {
        OptionalLong lacking = topic == Topic.OPERATOR ? lackingManifest() : OptionalLong.empty();
        lacking.ifPresent(offset ->
                records.stream().filter(record -> record.offset() == offset).forEach(this::operatorSaid));
    }

    /**
     * Takes note of a weight version that is wanted, from a peer that has heard of it.
     *
     * @param model the model
     * @param version the version; an older one than is known changes nothing
     */
    public synchronized void want(String model, long version) {
        view = operator.wanted(model, version, view);
    }

    // -- what processes keep in the store

    /** Where a manifest stands that is known to be newer than the one in force; empty if none is. */
    synchronized OptionalLong lackingManifest() {
        return operator.lackingManifest(end(Topic.OPERATOR));
    }

    /**
     * Takes note of where the newest manifest stands, from a peer that has it: this process may do without the manifest, and still
     * keep its place for others.
     *
     * @param place where it stands
     */
    public synchronized void manifestStands(ManifestPosition place) {
        operator.manifestStands(place);
    }

    /**
     * Where the newest manifest stands that is known of.
     *
     * @return the place, empty if none is known
     */
    public synchronized Optional<ManifestPosition> newestManifest() {
        return operator.newestManifest();
    }

    /** The newest manifest, if it is not known to be kept. */
    synchronized Optional<UnsavedItem> unkeptManifest() {
        return operator.unkeptManifest(copies.get(Topic.NAMED));
    }

    /** Whether what operators wrote has been read. */
    synchronized boolean knowsOperator() {
        return operator.isLoaded();
    }

    /** The newest versions that are not known to lie in the store under a key of their own. */
    synchronized List<UnsavedItem> unkept() {
        return operator.unkept(copies.get(Topic.NAMED));
    }

    // -- endpoints

    private void endpointsSaid(List<StoredRecord> news) {
        Map<String, EndpointRegistration> endpoints = new HashMap<>(view.endpoints());
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
