package org.micabarrow.views;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.micabarrow.state.Result;

/** Reads topics of the store. */
public interface TopicReader {

    /**
     * Records, and how far they reach.
     *
     * @param records the records
     * @param end the offset after the last record known to the store
     * @param asOfMillis the time on this process's monotonic clock up to which everything that was written is in this
     *     batch or before it; empty if unknown
     * @param notBeforeMillis a time on the same clock before which none of the records was written; empty if unknown
     * @param accounts what a peer knows of when weight versions were named; empty if the batch is not from a peer
     */
    record Batch(
            List<StoredRecord> records,
            long end,
            OptionalLong asOfMillis,
            OptionalLong notBeforeMillis,
            List<NamingAccount> accounts) {

        /** Validates the components. */
        public Batch {
            Objects.requireNonNull(records, "records is null");
            Objects.requireNonNull(asOfMillis, "asOfMillis is null");
            Objects.requireNonNull(notBeforeMillis, "notBeforeMillis is null");
            accounts = List.copyOf(accounts);
        }

        /**
         * Creates a batch for which it is unknown when its records were written.
         *
         * @param records the records
         * @param end the offset after the last record known to the store
         * @param asOfMillis the time up to which everything that was written is known; empty if unknown
         */
        public Batch(List<StoredRecord> records, long end, OptionalLong asOfMillis) {
            this(records, end, asOfMillis, OptionalLong.empty(), List.of());
        }

        /**
         * Creates a batch for which it is unknown up to which time all records are known.
         *
         * @param records the records
         * @param end the offset after the last record known to the store
         */
        public Batch(List<StoredRecord> records, long end) {
            this(records, end, OptionalLong.empty());
        }

        /** Returns this batch without the time up to which everything is known. */
        Batch withoutTime() {
            return new Batch(records, end, OptionalLong.empty(), notBeforeMillis, accounts);
        }

        /**
         * Returns this batch, which has the latest record of each key, with records of the same keys that were replaced.
         * They are in order of offset: a record of a key has no effect after a later one.
         */
        Batch withReplaced(List<StoredRecord> replaced) {
            Map<String, Long> latest =
                    records.stream().collect(Collectors.toMap(StoredRecord::key, StoredRecord::offset, Math::max));
            Stream<StoredRecord> earlier = replaced.stream()
                    .filter(record -> record.offset() < latest.getOrDefault(record.key(), Long.MIN_VALUE));
            List<StoredRecord> all = Stream.concat(records.stream(), earlier)
                    .sorted(Comparator.comparingLong(StoredRecord::offset))
                    .toList();
            return new Batch(all, end, asOfMillis, OptionalLong.empty(), accounts);
        }

        /** Returns this batch with more records, which may have been written at any time. */
        Batch withRecords(List<StoredRecord> moreRecords) {
            List<StoredRecord> all = new ArrayList<>(records);
            all.addAll(moreRecords);
            return new Batch(all, end, asOfMillis, OptionalLong.empty(), accounts);
        }
    }

    /** The result of a read. */
    sealed interface Read {

        /**
         * Records, possibly none.
         *
         * @param batch the records
         */
        record Records(Batch batch) implements Read {}

        /**
         * The requested records are no longer stored: the latest records of all keys must be read.
         *
         * @param first the offset of the first record that is still stored; empty if unknown
         */
        record Expired(OptionalLong first) implements Read {

            /** Creates a result that does not tell what is still stored. */
            public Expired() {
                this(OptionalLong.empty());
            }
        }
    }

    /**
     * Reads the latest record of each key.
     *
     * @param topic the topic
     * @return the records, with the end of the topic before the first of them was read
     */
    Result<Batch> readLatest(Topic topic);

    /**
     * Reads the records from an offset on, and waits if there are none yet.
     *
     * @param topic the topic
     * @param from the offset
     * @param wait how long to wait
     * @return the records
     */
    Result<Read> read(Topic topic, long from, Duration wait);

    /**
     * Reads records from an offset that was passed before, whether or not they are new.
     *
     * @param topic the topic
     * @param from the offset
     * @return the records
     */
    default Result<Read> readHistory(Topic topic, long from) {
        return read(topic, from, Duration.ZERO);
    }

    /**
     * Whether peers currently send updates about the topic, so that a read needs no response from the store.
     *
     * @param topic the topic
     * @return false for a reader that always reads the store
     */
    default boolean hasPeerUpdates(Topic topic) {
        return false;
    }
}
