package org.micabarrow;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;

/** Reads from sockets up to a known text. */
public final class SocketText {

    private SocketText() {}

    /**
     * Reads until what has been read ends with a text.
     *
     * @param in the socket's input
     * @param end the text
     * @throws IOException if the connection ends before
     */
    public static void readUntil(InputStream in, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < end.length() || text.lastIndexOf(end) != text.length() - end.length()) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after " + text.length() + " bytes");
            }
            text.append((char) next);
        }
    }

    /**
     * Reads until the connection ends, orderly or not.
     *
     * @param in the socket's input
     * @return what came; "(reset)" stands at the end if the connection was reset
     * @throws IOException if nothing comes for as long as the socket's timeout
     */
    public static String readToEnd(InputStream in) throws IOException {
        StringBuilder read = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                read.append((char) next);
            }
        } catch (SocketException e) {
            read.append("(reset)");
        }
        return read.toString();
    }
}
