package org.micabarrow.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.Addresses;

/**
 * An endpoint on a paused instance: the operating system accepts connections and data, but nothing is read until the
 * instance resumes.
 */
final class PausedEndpoint implements AutoCloseable {

    /** How long a read waits for a reset that may be in transit, in milliseconds; long enough for a busy machine. */
    private static final int RESET_TIMEOUT_MILLIS = 1_000;

    private final ServerSocket server;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private PausedEndpoint(ServerSocket server) {
        this.server = server;
    }

    static PausedEndpoint start() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(Addresses.parse(Ports.freeAddress()));
        PausedEndpoint endpoint = new PausedEndpoint(server);
        Thread.ofPlatform().daemon().name("paused-endpoint").start(endpoint::accept);
        return endpoint;
    }

    private void accept() {
        try {
            while (true) {
                connections.add(server.accept());
            }
        } catch (IOException e) {
            // The test has closed the server.
            return;
        }
    }

    String address() {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * The number of requests that the operating system has received and the endpoint has not read, including cancelled
     * ones.
     */
    int pendingRequests() {
        return (int) connections.stream().filter(PausedEndpoint::hasRequest).count();
    }

    private static boolean hasRequest(Socket connection) {
        try {
            return connection.getInputStream().available() > 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Resumes, reads the waiting requests, and begins each whose connection was not reset. An orderly close by the
     * other side would show only on a write.
     *
     * @return the requests that were begun
     */
    List<String> resume() {
        return connections.stream()
                .map(PausedEndpoint::readRequest)
                .filter(request -> !request.isEmpty())
                .toList();
    }

    /** Returns what was read from a connection; empty if it was reset. */
    private static String readRequest(Socket connection) {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            connection.setSoTimeout(RESET_TIMEOUT_MILLIS);
            InputStream input = connection.getInputStream();
            for (int next = input.read(); next >= 0; next = input.read()) {
                read.write(next);
            }
        } catch (SocketTimeoutException e) {
            // No more data has arrived, and the connection is still open.
            return read.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            // The connection was reset.
            return "";
        }
        return read.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
