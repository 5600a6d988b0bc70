package org.micabarrow;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads one answer as a client does, which takes it for complete by its length, its last chunk or the end of its connection. */
public final class AnswerReader {

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH = Pattern.compile("\r\ncontent-length: *(\\d+)");
    private static final Pattern CHUNKED = Pattern.compile("\r\ntransfer-encoding: *chunked");

    private final InputStream in;
    private final ByteArrayOutputStream read = new ByteArrayOutputStream();

    /**
     * Creates a reader.
     *
     * @param in the input of a connection on which a request has been sent; its timeout ends a test that hangs
     */
    public AnswerReader(InputStream in) {
        this.in = Objects.requireNonNull(in, "in is null");
    }

    /**
     * Returns what has been read, as one character a byte.
     *
     * @return the text
     */
    public String text() {
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads until a text has come.
     *
     * @param part the text
     * @throws IOException if the connection ends before
     */
    public void readUntil(String part) throws IOException {
        while (!text().contains(part)) {
            if (!readSome()) {
                throw new IOException("the connection ended after: " + text());
            }
        }
    }

    /**
     * Reads until the answer is complete or its connection has ended.
     *
     * @return whether the answer looks complete
     * @throws IOException if nothing comes for as long as the connection's timeout
     */
    public boolean readsComplete() throws IOException {
        try {
            while (!isComplete(false)) {
                if (!readSome()) {
                    return isComplete(true);
                }
            }
            return true;
        } catch (SocketException e) {
            // A reset tells the client that the answer is incomplete.
            return false;
        }
    }

    private boolean readSome() throws IOException {
        byte[] data = new byte[BUFFER_BYTES];
        int count = in.read(data);
        read.write(data, 0, Math.max(0, count));
        return count >= 0;
    }

    private boolean isComplete(boolean ended) {
        String text = text();
        int headBytes = text.indexOf(HEAD_END) + HEAD_END.length();
        if (headBytes < HEAD_END.length()) {
            return false;
        }
        String head = text.substring(0, headBytes).toLowerCase(Locale.ROOT);
        if (CHUNKED.matcher(head).find()) {
            return hasLastChunk(text.substring(headBytes));
        }
        Matcher length = LENGTH.matcher(head);
        return length.find() ? text.length() - headBytes >= Long.parseLong(length.group(1)) : ended;
    }

    private static boolean hasLastChunk(String chunks) {
        int at = 0;
        int sizeEnd = chunks.indexOf("\r\n");
        while (sizeEnd >= 0) {
            int size = Integer.parseInt(chunks.substring(at, sizeEnd), 16);
            if (size == 0) {
                return chunks.startsWith("\r\n", sizeEnd + 2);
            }
            at = sizeEnd + 2 + size + 2;
            sizeEnd = at > chunks.length() ? -1 : chunks.indexOf("\r\n", at);
        }
        return false;
    }
}
