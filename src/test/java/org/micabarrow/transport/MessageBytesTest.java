package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.micabarrow.memory.MessageMemory;

/** What is counted of messages, and which are refused. */
class MessageBytesTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nA: b\r\nC:\r\n\r\n";
    private static final String CHUNKS = "5;x=y\r\nab\n\nc\r\n1\r\n\n\r\n0\r\nT: u\r\n\r\n";
    private static final long LIMIT = 10 << 20;

    private final MessageMemory memory = new MessageMemory(LIMIT);
    private final MessageBytes bytes =
            new MessageBytes(HeadLines.Kind.RESPONSE, memory, Runnable::run, () -> "10.0.0.1:80");

    private static ByteBuffer buffer(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static long memoryBytes(int textBytes, int fields) {
        return textBytes + fields * 256L;
    }

    /** Gives the head in two parts, of which the latter may hold the beginning of the body. */
    @Property
    void shouldCountHeadAloneHoweverItIsSplit(@ForAll @IntRange(min = 0, max = 60) int split) throws IOException {
        String message = HEAD + "\n".repeat(40);
        bytes.begin(() -> {});
        if (split < HEAD.length()) {
            bytes.received(buffer(message.substring(0, split)));
            bytes.received(buffer(message.substring(split)));
        } else {
            bytes.received(buffer(message.substring(0, split)));
        }
        bytes.headRead(false);
        assertEquals(memoryBytes(HEAD.length(), 2), memory.bytes());
        bytes.end();
        assertEquals(0, memory.bytes());
    }

    @Property
    void shouldCountTrailerAloneHoweverChunksAreSplit(@ForAll @IntRange(min = 0, max = 60) int split)
            throws IOException {
        String message = HEAD + CHUNKS;
        int first = Math.max(split, HEAD.length());
        bytes.begin(() -> {});
        bytes.received(buffer(message.substring(0, first)));
        bytes.headRead(true);
        bytes.received(buffer(message.substring(first)));
        bytes.received(buffer(""));
        assertEquals(memoryBytes(HEAD.length(), 2) + memoryBytes("T: u\r\n\r\n".length(), 1), memory.bytes());
        bytes.end();
    }

    @Test
    void shouldCountInterimResponsesToo() throws IOException {
        String interim = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n";
        bytes.begin(() -> {});
        bytes.received(buffer(interim + interim + HEAD + CHUNKS));
        bytes.headRead(true);
        assertEquals(memoryBytes(2 * interim.length() + HEAD.length(), 4), memory.bytes());
    }

    @Test
    void shouldRefuseHeadWithTooManyFields() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer("HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(MessageBytes.MAX_FIELDS)));
        assertThrows(IOException.class, () -> bytes.received(buffer("a:\r\n")));
        assertTrue(bytes.refusal().isPresent());
        assertEquals(0, memory.bytes());
    }

    @Test
    void shouldRefuseHeadOfTooManyBytes() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer("x".repeat(MessageBytes.MAX_BYTES)));
        assertThrows(IOException.class, () -> bytes.received(buffer("x")));
    }

    @Test
    void shouldRefuseEmptyLinesWithoutEnd() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer("\r\n".repeat(MessageBytes.MAX_BYTES / 2)));
        assertThrows(IOException.class, () -> bytes.received(buffer("\r\n")));
    }

    @Test
    void shouldRefuseTrailerWithTooManyFieldsWhateverBodyCameBefore() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer(HEAD + "40000\r\n"));
        bytes.headRead(true);
        bytes.received(buffer("y".repeat(0x40000) + "\r\n0\r\n" + "a:\r\n".repeat(MessageBytes.MAX_FIELDS)));
        assertThrows(IOException.class, () -> bytes.received(buffer("a:\r\n")));
    }

    @Test
    void shouldRefuseChunkHeaderWithoutEnd() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer(HEAD));
        bytes.headRead(true);
        bytes.received(buffer("5;" + "x".repeat(200_000)));
        assertThrows(IOException.class, () -> bytes.received(buffer("x".repeat(100_000))));
    }

    @Test
    void shouldTakeBodiesOfAnySize() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer(HEAD));
        bytes.headRead(false);
        for (int i = 0; i < 100; i++) {
            bytes.received(buffer("a:\r\n".repeat(MessageBytes.MAX_FIELDS)));
        }
        assertEquals(memoryBytes(HEAD.length(), 2), memory.bytes());
    }

    @Test
    void shouldTakeChunksOfOneByte() throws IOException {
        bytes.begin(() -> {});
        bytes.received(buffer(HEAD));
        bytes.headRead(true);
        for (int i = 0; i < 1_000; i++) {
            bytes.received(buffer("1\r\n\n\r\n".repeat(1_000)));
        }
        assertEquals(memoryBytes(HEAD.length(), 2), memory.bytes());
    }

    @Test
    void shouldCloseConnectionWhenItsMemoryIsNeeded() throws IOException {
        StringBuilder closed = new StringBuilder();
        bytes.begin(() -> closed.append("closed"));
        bytes.received(buffer("HTTP/1.1 200 OK\r\n" + "a:\r\n".repeat(100)));
        MessageMemory.Share other = memory.share(() -> {});
        assertTrue(other.reading(LIMIT));
        assertEquals("closed", closed.toString());
        assertTrue(bytes.refusal().isPresent());
        assertThrows(IOException.class, () -> bytes.received(buffer("A: b\r\n")));
    }
}
