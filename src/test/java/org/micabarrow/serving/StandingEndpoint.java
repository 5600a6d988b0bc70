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
 * An endpoint on an instance that stands still: its operating system takes connections and what is sent on them, and it
 * reads nothing until it wakes.
 */
final class StandingEndpoint implements AutoCloseable {

    /** How long a read waits for a reset that may be on its way, in milliseconds: long for a busy machine. */
    private static final int LOOK_MILLIS = 1_000;

    private final ServerSocket server;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    private StandingEndpoint(ServerSocket server) {
        this.server = server;
    }

    static StandingEndpoint start() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(Addresses.parse(Ports.freeAddress()));
        StandingEndpoint endpoint = new StandingEndpoint(server);
        Thread.ofPlatform().daemon().name("standing-endpoint").start(endpoint::accept);
        return endpoint;
    }

    private void accept() {
        try {
            while (true) {
                connections.add(server.accept());
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    String address() {
        InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** How many requests wait in front of the instance, taken back or not. */
    int waiting() {
        return (int) connections.stream().filter(StandingEndpoint::hasRequest).count();
    }

    private static boolean hasRequest(Socket connection) {
        try {
            return connection.getInputStream().available() > 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Wakes, reads what waits, and begins every request whose connection was not reset: that the other end was closed in
     * good order shows only when something is written.
     *
     * @return the requests that are begun
     */
    List<String> wake() {
        return connections.stream()
                .map(StandingEndpoint::begun)
                .filter(request -> !request.isEmpty())
                .toList();
    }

    /** What was read of a connection; nothing if it was reset. */
    private static String begun(Socket connection) {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        try {
            connection.setSoTimeout(LOOK_MILLIS);
            InputStream input = connection.getInputStream();
            for (int one = input.read(); one >= 0; one = input.read()) {
                read.write(one);
            }
        } catch (SocketTimeoutException e) {
            // Nothing more has come, and the connection is open.
            return read.toString(StandardCharsets.UTF_8);
        } catch (IOException e) {
            // It was reset.
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
