package org.micabarrow.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Allocates free addresses on loopback. Each process uses its own host address, so that concurrent test runs do not
 * conflict. Ports are taken from below the ephemeral range, so that no outgoing connection can occupy a port before its
 * server listens on it.
 */
public final class Ports {

    /** The host address of this process; all of 127.0.0.0/8 is loopback. */
    private static final String HOST = host(ProcessHandle.current().pid());

    /** Lowest second byte of a host address, so that 127.0.0.1, which other programs use, is never chosen. */
    private static final int MIN_SECOND_BYTE = 64;

    private static final int FIRST_PORT = 15_000;
    private static final int PORT_COUNT = 16_000;
    private static final int BACKLOG = 1;

    /** Maximum time that a stopping server may keep its port. Closing takes milliseconds, longer on a busy machine. */
    private static final int MAX_CLOSE_SECONDS = 5;

    private static final AtomicInteger NEXT_PORT_INDEX =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 397 % PORT_COUNT));

    private Ports() {}

    /** Derives the host address from a process id, which has at most 22 bits on Linux. */
    private static String host(long pid) {
        long second = MIN_SECOND_BYTE + (pid >> 16 & 0x3f);
        long third = pid >> 8 & 0xff;
        long fourth = pid & 0xff;
        return "127." + second + "." + third + "." + fourth;
    }

    /**
     * Returns an address that no server listens on and that this process has not returned before.
     *
     * @return the host and port
     */
    public static String freeAddress() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT_INDEX.getAndIncrement(), PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(HOST))) {
                return HOST + ":" + socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use; tries the next one.
                continue;
            }
        }
        throw new IllegalStateException("no port is free on loopback");
    }

    /**
     * Waits until no server listens on an address. A stopping server closes its port asynchronously, and a server
     * started on the same address before that fails to bind.
     *
     * @param address the host and port
     * @throws IOException if the address is still in use after {@value #MAX_CLOSE_SECONDS} seconds
     */
    public static void awaitFree(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        InetAddress host = InetAddress.getByName(address.substring(0, colon));
        int port = Integer.parseInt(address.substring(colon + 1));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_CLOSE_SECONDS);
        while (true) {
            try (ServerSocket socket = new ServerSocket(port, BACKLOG, host)) {
                return;
            } catch (BindException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            }
        }
    }
}
