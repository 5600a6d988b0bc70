package org.micabarrow.attempts;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at the blank lines between them, so that only complete events are passed on and
 * the id of the last one is known.
 */
public final class EventSplitter {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    private int count;

    /**
     * Appends the next bytes of the stream.
     *
     * @param data the bytes
     * @return the events that are now complete, possibly none
     */
    public byte[] append(byte[] data) {
        pending.writeBytes(data);
        byte[] buffered = pending.toByteArray();
        int end = endOfLastEvent(buffered);
        if (end == 0) {
            return new byte[0];
        }
        pending.reset();
        pending.write(buffered, end, buffered.length - end);
        byte[] events = new byte[end];
        System.arraycopy(buffered, 0, events, 0, end);
        recordEvents(events);
        return events;
    }

    private static int endOfLastEvent(byte[] buffered) {
        for (int i = buffered.length - 1; i > 0; i--) {
            if (buffered[i] != '\n') {
                continue;
            }
            if (buffered[i - 1] == '\n' || (i > 1 && buffered[i - 1] == '\r' && buffered[i - 2] == '\n')) {
                return i + 1;
            }
        }
        return 0;
    }

    private void recordEvents(byte[] events) {
        for (String line : (Iterable<String>) new String(events, StandardCharsets.UTF_8).lines()::iterator) {
            if (line.isEmpty()) {
                count++;
            } else if (line.startsWith(ID_FIELD)) {
                lastId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
    }

    /**
     * Returns the number of complete events.
     *
     * @return the number so far
     */
    public int count() {
        return count;
    }

    /**
     * Returns the bytes of an event that is not yet complete.
     *
     * @return the bytes, possibly none
     */
    public byte[] remainder() {
        return pending.toByteArray();
    }

    /** Discards the bytes of an event that will not be completed because its connection broke. */
    public void discardRemainder() {
        pending.reset();
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
