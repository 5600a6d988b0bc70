package org.micabarrow.attempts;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at the blank lines between them, so that only complete events are passed on and
 * the id of the last one is known.
 */
public final class EventSplitter {

    private static final String ID = "id:";

    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();

    /**
     * Appends the next bytes of the stream.
     *
     * @param data the bytes
     * @return the events that are now complete, possibly none
     */
    public byte[] whole(byte[] data) {
        rest.writeBytes(data);
        byte[] all = rest.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        rest.reset();
        rest.write(all, end, all.length - end);
        byte[] events = new byte[end];
        System.arraycopy(all, 0, events, 0, end);
        noteIds(events);
        return events;
    }

    private static int endOfLastEvent(byte[] all) {
        for (int i = all.length - 1; i > 0; i--) {
            if (all[i] != '\n') {
                continue;
            }
            if (all[i - 1] == '\n' || (i > 1 && all[i - 1] == '\r' && all[i - 2] == '\n')) {
                return i + 1;
            }
        }
        return 0;
    }

    private void noteIds(byte[] events) {
        for (String line : new String(events, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID)) {
                lastId = Optional.of(line.substring(ID.length()).trim());
            }
        }
    }

    /**
     * Returns the bytes of an event that is not yet complete.
     *
     * @return the bytes, possibly none
     */
    public byte[] remainder() {
        return rest.toByteArray();
    }

    /** Discards the bytes of an event that will not be completed because its connection broke. */
    public void dropRemainder() {
        rest.reset();
    }

    /**
     * Returns the id of the last complete event that has one.
     *
     * @return the id, empty before the first event that has one
     */
    public Optional<String> lastId() {
        return lastId;
    }
}
