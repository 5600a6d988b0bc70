package org.micabarrow.protocol;

import java.util.List;
import org.micabarrow.coordination.log.PlatformLog;

/** The JSON messages of the platform's services and of endpoints, as docs/PLATFORM.md describes them. */
public final class PlatformMessages {

    private PlatformMessages() {}

    /**
     * The answer to an append.
     *
     * @param offset the record's offset
     */
    public record Appended(long offset) {}

    /**
     * A page of a stream.
     *
     * @param first the first offset that is still kept
     * @param records the records
     */
    public record LogPage(long first, List<LogEntry> records) {

        /** Copies the list. */
        public LogPage {
            records = List.copyOf(records);
        }

        /**
         * The page as the coordination layer takes it.
         *
         * @return the page
         */
        public PlatformLog.Page page() {
            return new PlatformLog.Page(
                    first,
                    records.stream()
                            .map(one -> new PlatformLog.Entry(one.offset(), one.atMillis(), one.body()))
                            .toList());
        }
    }

    /**
     * A record of a stream; the body is in base 64.
     *
     * @param offset its offset
     * @param atMillis when the log took it
     * @param body its bytes
     */
    public record LogEntry(long offset, long atMillis, byte[] body) {}

    /**
     * How many chunks of an artifact an engine holds.
     *
     * @param chunks their number
     */
    public record Staged(int chunks) {}

    /**
     * The answer to an order.
     *
     * @param accepted whether it was taken
     * @param reason why not
     */
    public record Ordered(boolean accepted, String reason) {}
}
