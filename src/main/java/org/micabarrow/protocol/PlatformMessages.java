package org.micabarrow.protocol;

import java.util.List;
import org.micabarrow.coordination.log.PlatformLog;

/** The JSON messages of the platform's services and of endpoints, as docs/PLATFORM.md describes them. */
public final class PlatformMessages {

    private PlatformMessages() {}

    /**
     * The response to an append.
     *
     * @param offset the offset of the appended record
     */
    public record AppendResponse(long offset) {}

    /**
     * A page of a log stream.
     *
     * @param first the lowest offset that the log still retains
     * @param records the records in order of offset
     */
    public record LogPage(long first, List<LogEntry> records) {

        /** Copies the list defensively. */
        public LogPage {
            records = List.copyOf(records);
        }

        /**
         * Converts this message to the page type of the coordination layer.
         *
         * @return the same records as a page
         */
        public PlatformLog.Page page() {
            return new PlatformLog.Page(
                    first,
                    records.stream()
                            .map(entry -> new PlatformLog.Entry(entry.offset(), entry.atMillis(), entry.body()))
                            .toList());
        }
    }

    /**
     * A record of a log stream; JSON carries the body in base 64.
     *
     * @param offset the offset in the stream
     * @param atMillis the time at which the log accepted the record, in milliseconds
     * @param body the content of the record
     */
    public record LogEntry(long offset, long atMillis, byte[] body) {}

    /**
     * The number of chunks of an artifact that are staged at an engine.
     *
     * @param chunks the number of staged chunks
     */
    public record StagedChunkCount(int chunks) {}

    /**
     * The response to an order to an endpoint.
     *
     * @param accepted whether the endpoint accepted the order
     * @param reason why it did not
     */
    public record OrderResponse(boolean accepted, String reason) {}
}
