package org.micabarrow.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free addresses on loopback. Each process has a host of its own there, so that two which test the same at the same time
 * never meet. The ports lie below the range from which the operating system takes those of outgoing connections, so that none
 * of those takes one before its server has begun to listen.
 */
public final class Ports {

    /** A host in 127.64.0.0/10 that follows from the process's id; all of 127.0.0.0/8 is loopback. */
    private static final String HOST = host(ProcessHandle.current().pid());

    private static final int FIRST = 15_000;
    private static final int COUNT = 16_000;
    private static final int BACKLOG = 1;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 397 % COUNT));

    private Ports() {}

    private static String host(long pid) {
        return "127." + (64 + (pid >> 16 & 63)) + "." + (pid >> 8 & 255) + "." + (pid & 255);
    }

    /**
     * An address that nobody listens on, and that this process gives out only once.
     *
     * @return the host and port
     */
    public static String freeAddress() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(HOST))) {
                return HOST + ":" + socket.getLocalPort();
            } catch (IOException e) {
                // Somebody listens there; the next one may be free.
                continue;
            }
        }
        throw new IllegalStateException("no port is free on loopback");
    }
}
