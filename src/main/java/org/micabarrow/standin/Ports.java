package org.micabarrow.standin;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Free addresses on loopback. Each process has a host of its own there, so that two which test the same at the same time
 * never meet. The ports lie below the range from which the operating system takes those of outgoing connections, so that
 * none of those takes one before its server has begun to listen.
 */
public final class Ports {

    /** The host of this process; all of 127.0.0.0/8 is loopback. */
    private static final String HOST = host(ProcessHandle.current().pid());

    /** The least second byte of a host: away from 127.0.0.1, which others use. */
    private static final int MIN_SECOND_BYTE = 64;

    private static final int FIRST = 15_000;
    private static final int COUNT = 16_000;
    private static final int BACKLOG = 1;

    /** How long a server that was told to stop may keep its port, in seconds: it takes milliseconds, on a busy machine more. */
    private static final int END_SECONDS = 5;

    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 397 % COUNT));

    private Ports() {}

    /** The host that follows from a process's id, which has 22 bits at most on Linux. */
    private static String host(long pid) {
        long second = MIN_SECOND_BYTE + (pid >> 16 & 0x3f);
        long third = pid >> 8 & 0xff;
        long fourth = pid & 0xff;
        return "127." + second + "." + third + "." + fourth;
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

    /**
     * Waits until nobody listens at an address any more: a server that was told to stop closes its port on a thread of its own, and
     * one that starts at the address until then finds it taken.
     *
     * @param address the host and port
     * @throws IOException if somebody still listens there after some seconds
     */
    public static void awaitFree(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        InetAddress host = InetAddress.getByName(address.substring(0, colon));
        int port = Integer.parseInt(address.substring(colon + 1));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(END_SECONDS);
        while (true) {
            try (ServerSocket socket = new ServerSocket(port, BACKLOG, host)) {
                return;
            } catch (BindException e) {
                if (System.nanoTime() - end > 0) {
                    throw e;
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            }
        }
    }
}
