package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Objects;

/**
 * Counts what a chunked body consists of besides its data (RFC 9112, 7.1). Bytes are given as they come, in any parts. It checks
 * the sizes alone, since Undertow takes a chunk without a size for the last one: whoever reads the body refuses what is malformed
 * otherwise. Not thread-safe.
 */
final class ChunkFraming {

    /** A larger size than this is of no use to tell apart, and does not overflow when a digit follows. */
    private static final long MAX_SIZE = Long.MAX_VALUE >> 8;

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
        EXTENSION,
        DATA,
        END_OF_DATA,
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

    /** Whether a chunk states no size, or one that is no number. */
    boolean malformed() {
        return malformed;
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
                case EXTENSION -> scanExtension(buffer.get());
                case DATA -> skipData(buffer);
                case END_OF_DATA -> scanEndOfData(buffer.get());
                case TRAILER -> trailer.scan(buffer);
            }
        }
    }

    private void scanSize(byte next) {
        overhead++;
        int digit = Character.digit(next, HEX);
        if (digit >= 0) {
            size = Math.min(size, MAX_SIZE) * HEX + digit;
            sized = true;
        } else {
            malformed |= !sized || !mayFollowSize(next);
            part = next == '\n' ? afterHeader() : Part.EXTENSION;
        }
    }

    /** Whether a character ends a size: that of a line's end, of an extension, or a blank before either. */
    private static boolean mayFollowSize(byte next) {
        return switch (next) {
            case '\r', '\n', ';', ' ', '\t' -> true;
            default -> false;
        };
    }

    private void scanExtension(byte next) {
        overhead++;
        if (next == '\n') {
            part = afterHeader();
        }
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

    private void scanEndOfData(byte next) {
        overhead++;
        if (next == '\n') {
            part = Part.SIZE;
        }
    }
}
