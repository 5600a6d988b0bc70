package org.micabarrow.views;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.micabarrow.state.Result;

/** Reads the store's topics. */
public interface TopicReader {

    /**
     * Records, and how far they reach.
     *
     * @param records the records
     * @param end the offset after the last record known to the store
     * @param asOfMillis the moment on this process's steady clock up to which everything that was written is among the records or
     *     before them; empty if not known
     */
    record Batch(List<StoredRecord> records, long end, OptionalLong asOfMillis) {

        /** Checks that nothing is missing. */
        public Batch {
            Objects.requireNonNull(records, "records is null");
            Objects.requireNonNull(asOfMillis, "asOfMillis is null");
        }

        /**
         * Records of which it is not known up to which moment they reach.
         *
         * @param records the records
         * @param end the offset after the last record known to the store
         */
        public Batch(List<StoredRecord> records, long end) {
            this(records, end, OptionalLong.empty());
        }
    }

    /** What a read gave. */
    sealed interface Read {

        /**
         * Records, possibly none.
         *
         * @param batch the records
         */
        record Records(Batch batch) implements Read {}

        /** The records asked for are no longer kept: the newest of all keys must be read. */
        record Expired() implements Read {}
    }

    /**
     * The newest record of each key.
     *
     * @param topic the topic
     * @return the records, with the topic's end before the first was read
     */
    Result<Batch> newest(Topic topic);

    /**
     * The records from an offset on; waits if there is none yet.
     *
     * @param topic the topic
     * @param from the offset
     * @param wait how long to wait
     * @return the records
     */
    Result<Read> read(Topic topic, long from, Duration wait);

    /**
     * The records from an offset on that was passed before, be they news or not.
     *
     * @param topic the topic
     * @param from the offset
     * @return the records
     */
    default Result<Read> history(Topic topic, long from) {
        return read(topic, from, Duration.ZERO);
    }

    /**
     * Whether a read needs no answer of the store now, since others tell what is new there.
     *
     * @param topic the topic
     * @return false for whoever reads the store alone
     */
    default boolean peersTell(Topic topic) {
        return false;
    }
}
