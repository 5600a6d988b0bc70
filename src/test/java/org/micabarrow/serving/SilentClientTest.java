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

/** What an entry bears of a client that takes none of its answer, as one whose connection fell silent does. */
class SilentClientTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: ";

    /** The least that a client can set; what it takes of an answer that it does not read. */
    private static final int CLIENT_BUFFER_BYTES = 1_024;

    /** An answer that is held until it is whole. */
    private static final int WHOLE_BYTES = 255 * 1024;

    /** So many whole answers that no connection takes all of them if nobody reads. */
    private static final int REQUESTS = 64;

    private static final long ENDLESS_BYTES = 1L << 40;

    /** How many looks in a row must find no open request, since there is a moment without one between two answers. */
    private static final int LOOKS = 40;

    /** Ends a test that hangs. */
    private static final int HANG_MILLIS = 8_000;

    private HostedSystem platform;
    private ServerSocket endpoint;
    private HostedSettings settings;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger answered = new AtomicInteger();

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        endpoint = new ServerSocket(0);
        settings = platform.entry();
        platform.place("raw-1", "127.0.0.1:" + endpoint.getLocalPort());
        platform.enter("raw-1", "plain", 0, "ready");
    }

    @AfterEach
    void stop() throws Exception {
        endpoint.close();
        platform.close();
    }

    /** Answers requests, each on its own connection, with so many bytes; looks whether one of them ends before the last. */
    private void answer(long bytes) {
        Thread.ofPlatform().daemon().start(() -> {
            while (!endpoint.isClosed()) {
                try (Socket socket = endpoint.accept()) {
                    answer(socket, bytes);
                    answered.incrementAndGet();
                } catch (IOException e) {
                    // The entry has ended the connection, or the test its endpoint.
                    ended.countDown();
                }
            }
        });
    }

    private static void answer(Socket socket, long bytes) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith("a body")) {
            read.append((char) socket.getInputStream().read());
        }
        OutputStream output = socket.getOutputStream();
        output.write((HEAD + bytes + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        byte[] part = new byte[CLIENT_BUFFER_BYTES];
        for (long left = bytes; left > 0; left -= part.length) {
            output.write(part);
        }
    }

    private Socket silentClient(int requests) throws IOException {
        InetSocketAddress clients = Addresses.parse(settings.listen().clients().orElseThrow());
        Socket client = new Socket();
        client.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        client.connect(clients);
        String request = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 60000\r\nContent-Length: 6\r\n\r\na body";
        client.getOutputStream().write(request.repeat(requests).getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private HostedEntryProcess begin() throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return entry;
    }

    @Test
    void shouldFreeEndpointWhenClientTakesNoMoreOfLongAnswer() throws Exception {
        HostedEntryProcess entry = begin();
        answer(ENDLESS_BYTES);
        try (Socket client = silentClient(1)) {
            Await.until("the end at the endpoint", () -> ended.getCount() == 0);
            Await.until("no open request", () -> entry.open() == 0);
            assertFalse(client.isClosed());
        }
        assertEquals(0, answered.get());
    }

    @Test
    void shouldFreeConnectionWhenClientTakesNoMoreOfWholeAnswers() throws Exception {
        HostedEntryProcess entry = begin();
        answer(WHOLE_BYTES);
        try (Socket client = silentClient(REQUESTS)) {
            Await.until("some answers", () -> answered.get() > 0);
            AtomicInteger looks = new AtomicInteger();
            Await.until(
                    "no open request any more",
                    () -> looks.updateAndGet(before -> entry.open() == 0 ? before + 1 : 0) == LOOKS);
            client.setSoTimeout(HANG_MILLIS);
            assertTrue(client.getInputStream().readAllBytes().length > 0, "what was on its way, and then the end");
        }
        assertTrue(answered.get() < REQUESTS, "the connection took all answers, which shows nothing");
    }
}
