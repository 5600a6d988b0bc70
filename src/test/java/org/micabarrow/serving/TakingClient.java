package org.micabarrow.serving;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.transport.Addresses;

/** A client that sends a text, once or without end, and takes all that comes, keeping nothing. */
final class TakingClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 * 1024;

    private final Socket socket = new Socket();
    private final AtomicLong taken = new AtomicLong();
    private final byte[] sent;
    private volatile boolean ended;

    private TakingClient(String address, byte[] sent) throws IOException {
        this.sent = sent;
        socket.connect(Addresses.parse(address));
        Thread.ofPlatform().daemon().start(this::take);
    }

    static TakingClient sendingOnce(String address, String text) throws IOException {
        TakingClient client = new TakingClient(address, text.getBytes(StandardCharsets.US_ASCII));
        client.socket.getOutputStream().write(client.sent);
        return client;
    }

    static TakingClient sendingWithoutEnd(String address, String text) throws IOException {
        String many = text.repeat(Math.max(1, BUFFER_BYTES / text.length()));
        TakingClient client = new TakingClient(address, many.getBytes(StandardCharsets.US_ASCII));
        Thread.ofPlatform().daemon().start(client::send);
        return client;
    }

    long takenBytes() {
        return taken.get();
    }

    /** Whether nothing more comes. */
    boolean ended() {
        return ended;
    }

    private void send() {
        try {
            OutputStream output = socket.getOutputStream();
            while (!socket.isClosed()) {
                output.write(sent);
            }
        } catch (IOException e) {
            ended = true;
        }
    }

    private void take() {
        byte[] data = new byte[BUFFER_BYTES];
        try {
            InputStream input = socket.getInputStream();
            for (int count = input.read(data); count >= 0; count = input.read(data)) {
                taken.addAndGet(count);
            }
        } catch (IOException e) {
            // Told below: the test, or the entry, has closed the connection.
        } finally {
            ended = true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
