package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Counts the bytes and fields of a head, of the interim responses before it, or of a trailer, and has their grammar checked. Bytes are
 * given as they come, in any parts. Not thread-safe.
 */
final class HeadLines {

    /** What a field takes up in Undertow's map and the project's copy besides its text, in bytes. */
    private static final int FIELD_BYTES = 256;

    /** Where the status begins in the first line of a response. */
    private static final int STATUS_POSITION = "HTTP/1.1 ".length();

    private final Kind kind;
    private final HeadSyntax syntax;
    private long bytes;
    private int fields;
    private boolean ended;
    private boolean interim;
    private boolean inFirstLine;
    private int lineLength;

    /** What the lines are. */
    enum Kind {
        REQUEST,
        RESPONSE,
        TRAILER
    }

    HeadLines(Kind kind) {
        this.kind = kind;
        this.syntax = new HeadSyntax(kind);
        clear();
    }

    /** Begins anew, with nothing counted. */
    void clear() {
        bytes = 0;
        fields = 0;
        syntax.clear();
        expectFirstLine();
    }

    private void expectFirstLine() {
        ended = false;
        interim = false;
        inFirstLine = kind != Kind.TRAILER;
        lineLength = 0;
        syntax.expectHead();
    }

    /** Why the lines so far are not sound; empty if they are. */
    Optional<String> fault() {
        return syntax.fault();
    }

    /** The length that the head states for its body; empty if it states none. */
    OptionalLong bodyLength() {
        return syntax.length();
    }

    long bytes() {
        return bytes;
    }

    int fields() {
        return fields;
    }

    /** What was counted takes up in memory, in bytes. */
    long memoryBytes() {
        return bytes + (long) fields * FIELD_BYTES;
    }

    /** Whether the empty line was read that ends a head, unless it ended an interim response, or a trailer. */
    boolean ended() {
        return ended;
    }

    /** Counts bytes up to the end, and leaves the others in the buffer. After an end, those of a further head are added. */
    void scan(ByteBuffer buffer) {
        if (ended) {
            expectFirstLine();
        }
        while (buffer.hasRemaining() && !ended) {
            bytes++;
            byte next = buffer.get();
            syntax.accept(next);
            switch (next) {
                case '\n' -> endLine();
                case '\r' -> {}
                default -> addToLine(next);
            }
        }
    }

    private void addToLine(byte next) {
        if (inFirstLine && lineLength == STATUS_POSITION && kind == Kind.RESPONSE) {
            interim = next == '1';
        }
        lineLength++;
    }

    private void endLine() {
        if (lineLength > 0) {
            fields += inFirstLine ? 0 : 1;
            inFirstLine = false;
        } else if (!inFirstLine) {
            ended = !interim;
            if (interim) {
                expectFirstLine();
            }
        }
        lineLength = 0;
    }
}
