package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.memory.HeldBytes;

/**
 * Guards against clients that read one byte a second and thereby hold up endpoints, delay or cut the answers of others, fill the
 * entry's memory, or take an answer that was cut for a whole one.
 */
class SlowClientTest extends ServingFixture {

    /** The objective of the route: what a client beside slow ones must get its answer within. */
    private static final long OBJECTIVE_MILLIS = 500;

    /** An answer that fits the buffer for one client. */
    private static final int FITTING_BYTES = 250_000;

    /** An answer that fits neither the buffer nor what sockets take in. */
    private static final long LARGE_BYTES = 64L << 20;

    private static final int SLOW_CLIENTS = 40;

    /** Endpoints of 16 slots each; all are one server, at addresses of their own. */
    private static final int ENDPOINTS = 4;

    /** A limit that the answers of eight slow clients exceed. */
    private static final long SMALL_LIMIT_BYTES = 2L << 20;

    private static final int BYTES_AT_ONE_A_SECOND = 4;

    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);
    private final List<RawClient> slowClients = new ArrayList<>();
    private SizedEndpoint endpoint;

    private void start() throws IOException {
        endpoint = new SizedEndpoint();
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        for (int i = 0; i < ENDPOINTS; i++) {
            platform.setAddress("raw-" + i, endpoint.address().replace("127.0.0.1", "127.0.0." + (i + 1)));
            platform.register("raw-" + i, "plain", 0, "ready");
        }
        serveWithoutVersions();
        // The first request of a process also loads its classes.
        assertEquals(200, sendRequest("/again/100").status());
        Await.until("the first request's end", () -> endpoint.completed.get() == 1);
    }

    @AfterEach
    void stop() throws IOException {
        clock.shutdownNow();
        for (RawClient slow : slowClients) {
            slow.close();
        }
        endpoint.close();
    }

    private RawClient slowClient(long answerBytes) throws IOException {
        RawClient slow = new RawClient(clientAddress(), "/again/" + answerBytes, new byte[] {'b'});
        slowClients.add(slow);
        return slow;
    }

    /** Reads a byte a second until told to stop, or the connection ends; returns how many were read. */
    private ScheduledFuture<?> readSlowly(RawClient slow, AtomicInteger bytes) {
        return clock.scheduleAtFixedRate(
                () -> {
                    try {
                        if (slow.readByte()) {
                            bytes.incrementAndGet();
                        }
                    } catch (IOException e) {
                        throw new AssertionError("the connection failed", e);
                    }
                },
                0,
                1,
                TimeUnit.SECONDS);
    }

    /** Sends requests of a fast client, one after the other, while a condition holds; returns the longest time of one. */
    private long longestMillisWhile(AtomicBoolean going) {
        long longest = 0;
        do {
            long start = System.nanoTime();
            assertEquals(200, sendRequest("/again/100").status());
            longest = Math.max(longest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
        } while (going.get());
        return longest;
    }

    @Test
    void shouldGiveSlowClientWholeAnswerWhenItFitsBuffer() throws Exception {
        start();
        RawClient slow = slowClient(FITTING_BYTES);
        AtomicInteger bytes = new AtomicInteger();
        ScheduledFuture<?> reading = readSlowly(slow, bytes);
        AtomicBoolean going = new AtomicBoolean(true);
        clock.schedule(() -> going.set(false), BYTES_AT_ONE_A_SECOND, TimeUnit.SECONDS);
        long longestMillis = longestMillisWhile(going);
        reading.cancel(false);
        assertTrue(bytes.get() >= BYTES_AT_ONE_A_SECOND, "the client has not read: " + bytes);
        assertTrue(longestMillis <= OBJECTIVE_MILLIS, "a fast client waited " + longestMillis + " ms");
        assertEquals(0, endpoint.cancelled.get());
        assertTrue(slow.readsComplete());
        assertEquals(FITTING_BYTES, slow.bodyBytes());
        Await.until("nothing held", () -> held.bytes() == 0);
    }

    @Test
    void shouldCutOnlySlowClientWhenAnswerDoesNotFit() throws Exception {
        start();
        RawClient slow = slowClient(LARGE_BYTES);
        AtomicInteger bytes = new AtomicInteger();
        ScheduledFuture<?> reading = readSlowly(slow, bytes);
        AtomicBoolean going = new AtomicBoolean(true);
        Thread awaiting = Thread.ofPlatform().start(() -> {
            Await.until("the cancellation at the endpoint", () -> endpoint.cancelled.get() > 0);
            going.set(false);
        });
        long longestMillis = longestMillisWhile(going);
        awaiting.join();
        reading.cancel(false);
        assertTrue(longestMillis <= OBJECTIVE_MILLIS, "a fast client waited " + longestMillis + " ms");
        assertEquals(1, endpoint.cancelled.get());
        assertFalse(slow.readsComplete());
        assertTrue(slow.bodyBytes() < LARGE_BYTES);
        Await.until("nothing held", () -> held.bytes() == 0);
    }

    @Test
    void shouldGiveWholeLargeAnswerToClientThatKeepsReading() throws Exception {
        start();
        RawClient client = slowClient(LARGE_BYTES / 8);
        assertTrue(client.readsComplete());
        assertEquals(LARGE_BYTES / 8, client.bodyBytes());
    }

    @Test
    void shouldStayWithinLimitWhenManyClientsAreSlow() throws Exception {
        held = new HeldBytes(SMALL_LIMIT_BYTES);
        start();
        AtomicBoolean going = new AtomicBoolean(true);
        List<Long> above = new ArrayList<>();
        Thread watching = Thread.ofPlatform().start(() -> {
            while (going.get()) {
                long now = held.bytes();
                if (now > SMALL_LIMIT_BYTES) {
                    above.add(now);
                }
                LockSupport.parkNanos(1_000_000);
            }
        });
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            slowClient(LARGE_BYTES);
            int sent = i + 2;
            Await.until("request " + sent + " at the endpoint", () -> endpoint.received.get() >= sent);
        }
        long longestMillis = longestMillisWhile(new AtomicBoolean(false));
        Await.until("the slow clients are cut", () -> endpoint.cancelled.get() == SLOW_CLIENTS);
        going.set(false);
        watching.join();
        assertEquals(List.of(), above);
        assertTrue(longestMillis <= OBJECTIVE_MILLIS, "a fast client waited " + longestMillis + " ms");
        for (RawClient slow : slowClients) {
            assertFalse(slow.readsComplete());
        }
        Await.until("nothing held", () -> held.bytes() == 0);
    }
}
