package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.micabarrow.transport.Addresses;

/** A client that reads its response byte by byte, as slowly as a test wants. */
final class RawClient implements AutoCloseable {

    /** A receive buffer that takes little of an answer without a read; the system may round it up. */
    private static final int BUFFER_BYTES = 1_024;

    /** Ends a test that hangs. */
    private static final int HANG_MILLIS = 20_000;

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final Socket socket = new Socket();
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();
    private String tail = "";

    RawClient(String entry, String path, byte[] body) throws IOException {
        socket.setReceiveBufferSize(BUFFER_BYTES);
        socket.setSoTimeout(HANG_MILLIS);
        socket.connect(Addresses.parse(entry));
        String head = "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 60000\r\nContent-Length: " + body.length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body);
    }

    /** Reads one byte; false at the end of the stream. */
    boolean readByte() throws IOException {
        int next = socket.getInputStream().read();
        if (next >= 0) {
            read.write(next);
        }
        return next >= 0;
    }

    /** Reads the head of the response. */
    String readHead() throws IOException {
        boolean open = true;
        while (open && !text().contains("\r\n\r\n")) {
            open = readByte();
        }
        return text();
    }

    /** Reads until the response looks complete or the connection ends; whether it looks complete. */
    boolean readsComplete() throws IOException {
        String head = readHead();
        String lengthField = "content-length: ";
        int at = head.toLowerCase(Locale.ROOT).indexOf(lengthField);
        int headBytes = head.indexOf("\r\n\r\n") + 4;
        long expected = at < 0
                ? Long.MAX_VALUE
                : headBytes
                        + Long.parseLong(head.substring(at + lengthField.length())
                                .lines()
                                .findFirst()
                                .orElseThrow());
        try {
            while (read.size() < expected) {
                byte[] data = new byte[64 * 1024];
                int count = socket.getInputStream().read(data, 0, (int) Math.min(data.length, expected - read.size()));
                if (count < 0) {
                    return false;
                }
                read.write(data, 0, count);
                if (at < 0 && endsWithLastChunk(data, count)) {
                    return true;
                }
            }
            return true;
        } catch (SocketException e) {
            // A reset tells the client that the response is incomplete.
            return false;
        }
    }

    /** Whether the stream ends with the last chunk; only the end is looked at, since answers are large. */
    private boolean endsWithLastChunk(byte[] data, int count) {
        int from = Math.max(0, count - LAST_CHUNK.length());
        String end = new String(data, from, count - from, StandardCharsets.ISO_8859_1);
        tail = (tail + end).substring(Math.max(0, tail.length() + end.length() - LAST_CHUNK.length()));
        return tail.equals(LAST_CHUNK);
    }

    /** How many bytes of the answer have been read, which are all {@code x}. */
    long bodyBytes() {
        return text().chars().filter(c -> c == 'x').count();
    }

    private String text() {
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
