package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/**
 * Guards against an entry that keeps resources for a client that stops reading its response, as after a lost
 * connection.
 */
class StalledClientTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: ";

    /** The smallest receive buffer that a client can set, which limits what it accepts without reading. */
    private static final int CLIENT_BUFFER_BYTES = 1_024;

    /** The size of a response that is buffered until it is complete. */
    private static final int BUFFERED_BYTES = 255 * 1024;

    /** Enough complete responses that no connection accepts all of them unread. */
    private static final int REQUESTS = 64;

    private static final long ENDLESS_BYTES = 1L << 40;

    /**
     * How many consecutive checks must find no open request, since there is a moment without one between two responses.
     */
    private static final int CHECKS = 40;

    /** Ends a test that hangs. */
    private static final int HANG_MILLIS = 8_000;

    private HostedSystem platform;
    private ServerSocket endpoint;
    private HostedSettings settings;
    private final CountDownLatch connectionClosed = new CountDownLatch(1);
    private final AtomicInteger completed = new AtomicInteger();

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        endpoint = new ServerSocket(0);
        settings = platform.entrySettings();
        platform.setAddress("raw-1", "127.0.0.1:" + endpoint.getLocalPort());
        platform.register("raw-1", "plain", 0, "ready");
    }

    @AfterEach
    void stop() throws Exception {
        endpoint.close();
        platform.close();
    }

    /**
     * Responds to requests, each on its own connection, with the given number of bytes, and detects whether a connection
     * ends early.
     */
    private void respond(long bytes) {
        Thread.ofPlatform().daemon().start(() -> {
            while (!endpoint.isClosed()) {
                try (Socket socket = endpoint.accept()) {
                    respond(socket, bytes);
                    completed.incrementAndGet();
                } catch (IOException e) {
                    // The entry closed the connection, or the test closed the endpoint.
                    connectionClosed.countDown();
                }
            }
        });
    }

    private static void respond(Socket socket, long bytes) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith("a body")) {
            read.append((char) socket.getInputStream().read());
        }
        OutputStream output = socket.getOutputStream();
        output.write((HEAD + bytes + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        byte[] chunk = new byte[CLIENT_BUFFER_BYTES];
        for (long remaining = bytes; remaining > 0; remaining -= chunk.length) {
            output.write(chunk);
        }
    }

    private Socket stalledClient(int requests) throws IOException {
        InetSocketAddress clients = Addresses.parse(settings.listen().clients().orElseThrow());
        Socket client = new Socket();
        client.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        client.connect(clients);
        String request = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 60000\r\nContent-Length: 6\r\n\r\na body";
        client.getOutputStream().write(request.repeat(requests).getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private HostedEntryProcess startEntry() throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return entry;
    }

    @Test
    void shouldFreeEndpointWhenClientStopsReadingLongResponse() throws Exception {
        HostedEntryProcess entry = startEntry();
        respond(ENDLESS_BYTES);
        try (Socket client = stalledClient(1)) {
            Await.until("the cancellation at the endpoint", () -> connectionClosed.getCount() == 0);
            Await.until("no open request", () -> entry.open() == 0);
            assertFalse(client.isClosed());
        }
        assertEquals(0, completed.get());
    }

    @Test
    void shouldFreeConnectionWhenClientStopsReadingCompleteResponses() throws Exception {
        HostedEntryProcess entry = startEntry();
        respond(BUFFERED_BYTES);
        try (Socket client = stalledClient(REQUESTS)) {
            Await.until("some responses", () -> completed.get() > 0);
            AtomicInteger checks = new AtomicInteger();
            Await.until(
                    "no open request any more",
                    () -> checks.updateAndGet(before -> entry.open() == 0 ? before + 1 : 0) == CHECKS);
            client.setSoTimeout(HANG_MILLIS);
            assertTrue(
                    client.getInputStream().readAllBytes().length > 0,
                    "the data in transit, then the end of the stream");
        }
        assertTrue(completed.get() < REQUESTS, "the connection accepted all responses, so the test shows nothing");
    }
}
