package org.micabarrow;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.Addresses;

/**
 * Passes the bytes of connections on to a server, until it makes those that are open silent for good: they stay open, and
 * whatever comes on them at either end is lost. Connections that are opened later work.
 */
public final class SilentRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 50;

    private final String address;
    private final InetSocketAddress target;
    private final ServerSocket server;
    private final Queue<Link> links = new ConcurrentLinkedQueue<>();
    private final AtomicInteger accepted = new AtomicInteger();

    private SilentRelay(String target) throws IOException {
        this.address = Ports.freeAddress();
        this.target = Addresses.parse(target);
        InetSocketAddress at = Addresses.parse(address);
        this.server = new ServerSocket(at.getPort(), BACKLOG, at.getAddress());
    }

    /** A client's connection and the one that it is passed on by. */
    private static final class Link {

        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        private Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void close() throws IOException {
            near.close();
            far.close();
        }
    }

    public static SilentRelay to(String target) throws IOException {
        SilentRelay relay = new SilentRelay(target);
        daemon(relay::accept);
        return relay;
    }

    private static void daemon(Runnable work) {
        Thread.ofPlatform().daemon().start(work);
    }

    /** The host and port that clients connect to instead of the server's. */
    public String address() {
        return address;
    }

    /** The connections taken so far. */
    public int accepted() {
        return accepted.get();
    }

    /** Makes all connections that are open now silent for good. */
    public void silence() {
        links.forEach(link -> link.silent = true);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                Link link = new Link(near, new Socket(target.getAddress(), target.getPort()));
                links.add(link);
                accepted.incrementAndGet();
                daemon(() -> pass(link, link.near, link.far));
                daemon(() -> pass(link, link.far, link.near));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    throw new IllegalStateException("the relay cannot go on", e);
                }
            }
        }
    }

    private static void pass(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            for (int count = from.getInputStream().read(buffer);
                    count >= 0;
                    count = from.getInputStream().read(buffer)) {
                if (!link.silent) {
                    to.getOutputStream().write(buffer, 0, count);
                }
            }
            end(link);
        } catch (IOException e) {
            end(link);
        }
    }

    /** A connection that ends at one end ends at the other too, unless it is silent. */
    private static void end(Link link) {
        if (link.silent) {
            return;
        }
        try {
            link.close();
        } catch (IOException e) {
            throw new IllegalStateException("a connection cannot be closed", e);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Link link : links) {
            link.close();
        }
    }
}
