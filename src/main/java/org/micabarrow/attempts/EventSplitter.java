package org.micabarrow.attempts;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of events at the blank lines between them, so that only whole events are passed on and the id of the last
 * one is known.
 */
public final class EventSplitter {

    private static final String ID = "id:";

    private final ByteArrayOutputStream rest = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();

    /**
     * Takes the next bytes.
     *
     * @param data the bytes
     * @return the events that are now whole, possibly none
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
     * The bytes of an event that is not whole yet.
     *
     * @return the bytes, possibly none
     */
    public byte[] remainder() {
        return rest.toByteArray();
    }

    /** Forgets the bytes of an event that will not become whole, because its connection broke. */
    public void dropRemainder() {
        rest.reset();
    }

    /**
     * The id of the last whole event.
     *
     * @return the id, empty before the first event that has one
     */
    public Optional<String> lastId() {
        return lastId;
    }
}
