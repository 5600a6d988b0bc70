package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;

/**
 * Counts what a chunked body consists of besides its data, and checks its grammar (RFC 9112, 7.1): Undertow takes a chunk without a
 * size for the last one, and passes over whatever stands between the data of a chunk and the end of its line. Bytes are given as they
 * come, in any parts. Not thread-safe.
 */
final class ChunkFraming {

    /** A size above this overflows when a digit follows. */
    private static final long MAX_SIZE = Long.MAX_VALUE >> 4;

    private static final int HEX = 16;

    private final HeadLines trailer;
    private Part part = Part.SIZE;
    private long size;
    private boolean sized;
    private boolean malformed;
    private long data;
    private long overhead;

    private enum Part {
        SIZE,
        AFTER_SIZE,
        EXTENSION,
        END_OF_HEADER,
        DATA,
        END_OF_DATA,
        END_OF_LINE,
        TRAILER
    }

    /** Begins with the first chunk. */
    ChunkFraming(HeadLines trailer) {
        this.trailer = Objects.requireNonNull(trailer, "trailer is null");
    }

    /** Begins anew, with nothing counted. */
    void clear() {
        trailer.clear();
        part = Part.SIZE;
        size = 0;
        sized = false;
        malformed = false;
        data = 0;
        overhead = 0;
    }

    /** The bytes of data so far. */
    long data() {
        return data;
    }

    /** The bytes of chunk headers so far, and of the ends of chunks. */
    long overhead() {
        return overhead;
    }

    /** Why the body is not sound so far; empty if it is. */
    Optional<String> fault() {
        return malformed
                ? Optional.of("a chunk states no size that is a number, or a line of it does not end as it must")
                : trailer.fault().map(fault -> "its trailer: " + fault);
    }

    /** The lines after the last chunk. */
    HeadLines trailer() {
        return trailer;
    }

    /** Counts all bytes of a buffer, up to the end of the body. */
    void scan(ByteBuffer buffer) {
        while (buffer.hasRemaining() && !trailer.ended()) {
            switch (part) {
                case SIZE -> scanSize(buffer.get());
                case AFTER_SIZE -> scanAfterSize(buffer.get());
                case EXTENSION -> scanExtension(buffer.get());
                case END_OF_HEADER -> scanEnd(buffer.get(), '\n', afterHeader());
                case DATA -> skipData(buffer);
                case END_OF_DATA -> scanEnd(buffer.get(), '\r', Part.END_OF_LINE);
                case END_OF_LINE -> scanEnd(buffer.get(), '\n', Part.SIZE);
                case TRAILER -> trailer.scan(buffer);
            }
        }
    }

    private void scanSize(byte next) {
        overhead++;
        int digit = Character.digit(next, HEX);
        if (digit >= 0) {
            malformed |= size > MAX_SIZE;
            size = Math.min(size, MAX_SIZE) * HEX + digit;
            sized = true;
        } else {
            malformed |= !sized;
            part = Part.AFTER_SIZE;
            endSize(next);
        }
    }

    /** A size is followed by the end of the line or an extension, and blanks may stand before either. */
    private void scanAfterSize(byte next) {
        overhead++;
        endSize(next);
    }

    private void endSize(byte next) {
        switch (next) {
            case '\r' -> part = Part.END_OF_HEADER;
            case ';' -> part = Part.EXTENSION;
            case ' ', '\t' -> {}
            default -> malformed = true;
        }
    }

    private void scanExtension(byte next) {
        overhead++;
        malformed |= next == '\n';
        if (next == '\r') {
            part = Part.END_OF_HEADER;
        }
    }

    private void scanEnd(byte next, char expected, Part following) {
        overhead++;
        malformed |= next != expected;
        part = following;
    }

    private Part afterHeader() {
        sized = false;
        return size == 0 ? Part.TRAILER : Part.DATA;
    }

    private void skipData(ByteBuffer buffer) {
        int count = (int) Math.min(size, buffer.remaining());
        buffer.position(buffer.position() + count);
        data += count;
        size -= count;
        if (size == 0) {
            part = Part.END_OF_DATA;
        }
    }
}
