package org.micabarrow.views;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.steps.Steps;
import org.micabarrow.views.ViewKeeper.Topic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps in the store which weight versions were named and when, one key a version, and recalls them at the start. The operator's own
 * record of a model does not tell this: a write that got no answer may be done seconds later, after the write of a newer
 * version, so that the newest record names an older version. A set of keys is the same in whatever order and however often its
 * members are written. Guards against endpoints that take up, and go on answering by, an older version after every process has
 * started again.
 */
public final class NamedVersions implements TopicReader {

    private static final Logger LOG = LoggerFactory.getLogger(NamedVersions.class);

    /**
     * The pause between two looks, in milliseconds: a version is written half a second after it is known, and a store that does
     * not answer is asked twice a second.
     */
    private static final long LOOK_MILLIS = 500;

    private final TopicReader reader;
    private final VersionWriter writer;
    private final ViewKeeper keeper;
    private final BooleanSupplier writes;
    private final AtomicBoolean recalled = new AtomicBoolean();

    /** Writes a version where {@link Topic#NAMED} is read from. */
    @FunctionalInterface
    public interface VersionWriter {

        /**
         * Writes that a version was named, and drops keys that are of use no more. May be done any number of times.
         *
         * @param unkept the version
         * @return the records as they lie in the topic, or why they may not lie there
         */
        Result<List<StoredRecord>> write(Unkept unkept);
    }

    /**
     * A named weight version that is not known to lie in {@link Topic#NAMED}.
     *
     * @param model the model
     * @param version the version
     * @param namedMillis the Unix millisecond at which this process learned that it was named; empty if it found it so
     * @param outdated keys of the model's versions there that are of use no more
     */
    public record Unkept(String model, long version, OptionalLong namedMillis, List<String> outdated) {

        /** Copies the keys. */
        public Unkept {
            Objects.requireNonNull(model, "model is null");
            Objects.requireNonNull(namedMillis, "namedMillis is null");
            outdated = List.copyOf(outdated);
        }
    }

    /**
     * Keeps the named versions of a process.
     *
     * @param reader reads the store
     * @param writer writes versions
     * @param keeper knows which versions were named
     * @param writes whether this process is to write; a few processes are enough
     */
    public NamedVersions(TopicReader reader, VersionWriter writer, ViewKeeper keeper, BooleanSupplier writes) {
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.writer = Objects.requireNonNull(writer, "writer is null");
        this.keeper = Objects.requireNonNull(keeper, "keeper is null");
        this.writes = Objects.requireNonNull(writes, "writes is null");
    }

    // -- reading

    /** Reads the newest records; before those of operators, which may name an older version, the versions are recalled. */
    @Override
    public Result<Batch> newest(Topic topic) {
        if (topic == Topic.OPERATOR) {
            recalled.set(false);
            recall();
        }
        return reader.newest(topic);
    }

    @Override
    public Result<Read> read(Topic topic, long from, Duration wait) {
        return reader.read(topic, from, wait);
    }

    private void recall() {
        switch (reader.newest(Topic.NAMED)) {
            case Result.Success<Batch>(Batch batch) -> {
                keeper.replace(Topic.NAMED, batch.records(), batch.end());
                recalled.set(true);
            }
            case Result.Failure<Batch>(Fault fault) -> LOG.warn("event=versions_not_recalled why=\"{}\"", fault);
        }
    }

    // -- keeping

    /** Looks again and again, on a thread of its own, for as long as the process runs. */
    public void start() {
        Steps.start("named-versions", LOOK_MILLIS, this::look);
    }

    /** Recalls the versions if that failed, and writes those that are not known to lie in the store. */
    void look() {
        if (!keeper.knowsOperator()) {
            return;
        }
        if (!recalled.get()) {
            recall();
        }
        List<Unkept> unkept = keeper.unkept();
        if (recalled.get() && !unkept.isEmpty() && writes.getAsBoolean()) {
            unkept.forEach(this::write);
        }
    }

    private void write(Unkept unkept) {
        switch (writer.write(unkept)) {
            case Result.Success<List<StoredRecord>>(List<StoredRecord> records) -> {
                keeper.apply(Topic.NAMED, records, 0);
                LOG.info("event=version_kept model={} version={}", unkept.model(), unkept.version());
            }
            case Result.Failure<List<StoredRecord>>(Fault fault) ->
                LOG.warn(
                        "event=version_not_kept model={} version={} why=\"{}\"",
                        unkept.model(),
                        unkept.version(),
                        fault);
        }
    }
}
