package org.micabarrow.attempts;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at the blank lines between them, so that only complete events are passed on and
 * the id of the last one is known.
 */
public final class EventSplitter {

    /** The longest event that is waited for, in bytes: as much as is held of a response that is sent whole. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    private static final char COMMENT = ':';

    private static final String CONTENT_TYPE = "text/event-stream";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();
    private int count;

    /**
     * Returns whether a body is a stream of events.
     *
     * @param contentType the body's type as stated in its head
     * @return true for {@code text/event-stream} with any parameters
     */
    public static boolean isEventStream(String contentType) {
        return contentType.regionMatches(true, 0, CONTENT_TYPE, 0, CONTENT_TYPE.length());
    }

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

    /**
     * Returns whether the event that is not yet complete is longer than any that is waited for.
     *
     * @return true if the stream is to be given up
     */
    public boolean isEndless() {
        return pending.size() > MAX_EVENT_BYTES;
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

    /** Records complete events, the last of which ends with a line break. */
    private void recordEvents(byte[] events) {
        int start = 0;
        for (int i = 0; i < events.length; i++) {
            if (events[i] == '\n') {
                recordLine(events, start, i);
                start = i + 1;
            }
        }
    }

    /** Records the end of an event, or the id that a line states. Every event passes here, so lines are not made texts. */
    private void recordLine(byte[] events, int start, int end) {
        if (isEmpty(events, start, end)) {
            count++;
            return;
        }
        if (end - start < ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (events[start + i] != ID_FIELD[i]) {
                return;
            }
        }
        int from = start + ID_FIELD.length;
        lastId = Optional.of(new String(events, from, end - from, StandardCharsets.UTF_8).trim());
    }

    private static boolean isEmpty(byte[] events, int start, int end) {
        return start == end || (end - start == 1 && events[start] == '\r');
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

    /**
     * Returns whether a stream that has ended here was cut: within an event, or before its first event with nothing but
     * the end of its connection.
     *
     * @param endStated whether the body stated its end, by a length or by a last chunk
     * @param eventsBefore the number of events that earlier bodies of the same stream have contributed
     * @return false if the stream may be whole
     */
    public boolean isCut(boolean endStated, int eventsBefore) {
        return isWithinEvent() || (!endStated && count == eventsBefore);
    }

    /** Whether the pending bytes begin an event; line breaks and comments belong to none. */
    private boolean isWithinEvent() {
        return pending.toString(StandardCharsets.UTF_8)
                .lines()
                .anyMatch(line -> !line.isEmpty() && line.charAt(0) != COMMENT);
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
