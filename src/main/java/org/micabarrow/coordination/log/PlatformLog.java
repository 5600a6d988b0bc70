package org.micabarrow.coordination.log;

import java.time.Duration;
import java.util.List;
import org.micabarrow.state.Result;

/** The platform's append-only log service. */
public interface PlatformLog {

    /** The stream that carries the configuration. */
    String CONFIGURATION = "configuration";

    /**
     * Appends one record. A failure does not tell whether the record was written.
     *
     * @param stream the stream
     * @param body the record
     * @return the record's offset
     */
    Result<Long> append(String stream, byte[] body);

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param from the first offset wanted
     * @param wait how long to wait for a record where there is none yet
     * @return the records, perhaps none
     */
    Result<Page> read(String stream, long from, Duration wait);

    /**
     * Records in the order of their offsets.
     *
     * @param first the first offset that the log still keeps
     * @param records the records, from the offset asked for or the first kept
     * @param ageMillis how long ago the log said so, in milliseconds; 0 if it was read itself, {@link #UNKNOWN_AGE} if nobody knows
     */
    record Page(long first, List<Entry> records, long ageMillis) {

        /** The age of what is told by a process that does not say when the log was heard. */
        public static final long UNKNOWN_AGE = Long.MAX_VALUE;

        /** Copies the list. */
        public Page {
            records = List.copyOf(records);
        }

        /**
         * Records as read from the log itself.
         *
         * @param first the first offset that the log still keeps
         * @param records the records, from the offset asked for or the first kept
         */
        public Page(long first, List<Entry> records) {
            this(first, records, 0);
        }
    }

    /**
     * A record as the log keeps it.
     *
     * @param offset its offset
     * @param atMillis when the log took it, in milliseconds since 1970
     * @param body its bytes
     */
    record Entry(long offset, long atMillis, byte[] body) {}
}
