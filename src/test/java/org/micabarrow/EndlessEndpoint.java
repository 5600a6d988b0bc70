package org.micabarrow;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A server that answers its first connections with some bytes, and then sends others until its peers close. */
public final class EndlessEndpoint implements AutoCloseable {

    private static final int WRITE_BYTES = 16 * 1024;

    private final ServerSocket server;
    private final byte[] first;
    private final byte[] repeated;
    private final AtomicLong sentBytes = new AtomicLong();
    private final int connections;
    private final AtomicInteger closedByPeer = new AtomicInteger();
    private volatile boolean stopped;

    public EndlessEndpoint(String first, String repeated) throws IOException {
        this(first, repeated, 1);
    }

    public EndlessEndpoint(String first, String repeated, int connections) throws IOException {
        this.connections = connections;
        this.first = first.getBytes(StandardCharsets.US_ASCII);
        this.repeated =
                repeated.repeat(Math.max(1, WRITE_BYTES / repeated.length())).getBytes(StandardCharsets.US_ASCII);
        this.server = new ServerSocket(0);
        for (int i = 0; i < connections; i++) {
            Thread.ofPlatform().daemon().start(this::serve);
        }
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** How much the peers took, what lies in buffers of the system included. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** Whether each of the connections has been closed by its peer. */
    public boolean isClosedByPeer() {
        return closedByPeer.get() == connections;
    }

    private void serve() {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            OutputStream output = socket.getOutputStream();
            output.write(first);
            while (!stopped) {
                output.write(repeated);
                sentBytes.addAndGet(repeated.length);
            }
        } catch (IOException e) {
            closedByPeer.incrementAndGet();
        }
    }

    @Override
    public void close() throws IOException {
        stopped = true;
        server.close();
    }
}
