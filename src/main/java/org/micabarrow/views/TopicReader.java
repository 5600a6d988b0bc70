package org.micabarrow.views;

import java.time.Duration;
import java.util.List;
import org.micabarrow.state.Result;

/** Reads the store's topics. */
public interface TopicReader {

    /**
     * Records, and how far they reach.
     *
     * @param records the records
     * @param end the offset after the last record known to the store
     */
    record Batch(List<StoredRecord> records, long end) {}

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
}
