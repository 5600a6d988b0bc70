package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** Guards against a ready entry that does not accept all clients or respond to them when many connect at once. */
class ConcurrentClientsTest extends ServingFixture {

    private static final int CLIENTS = 64;

    /** How soon a client must get a response: the users' limit for connections to a ready entry. */
    private static final int RESPONSE_TIMEOUT_MILLIS = 4_000;

    /** The number of routes in a large manifest of the users. */
    private static final int LARGE_ROUTES = 1_640;

    private static final int LARGE_MANIFESTS = 12;
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final String REQUEST = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
            + "Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\na body";

    // -- clients

    private static List<Socket> connectClients(String entry) throws IOException {
        InetSocketAddress address = Addresses.parse(entry);
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            client.connect(address, RESPONSE_TIMEOUT_MILLIS);
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            sockets.add(client);
        }
        return sockets;
    }

    private static String statusLine(Socket client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = client.getInputStream().read();
                character >= 0 && character != '\r';
                character = client.getInputStream().read()) {
            line.append((char) character);
        }
        return line.toString();
    }

    /** Reads the status line that each client receives, and closes the connections. */
    private static List<String> statusLines(List<Socket> sockets) throws IOException {
        List<String> statusLines = new ArrayList<>();
        for (Socket client : sockets) {
            try (client) {
                statusLines.add(statusLine(client));
            }
        }
        return statusLines;
    }

    private static void assertResponses(List<Socket> sockets) throws IOException {
        // Sixty-four at once are more than a plain endpoint takes, so some requests are refused, but each must get a
        // response.
        List<String> statusLines = statusLines(sockets);
        long completed = statusLines.stream()
                .filter(line -> line.startsWith("HTTP/1.1 200") || line.startsWith("HTTP/1.1 503"))
                .count();
        assertEquals(CLIENTS, completed, statusLines::toString);
    }

    // -- entry

    @Test
    void shouldRespondToClientsThatConnectedWhileTrafficThreadWasPaused() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT_MILLIS);
        platform.addEndpoint("plain-1", "plain", 0);
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                (endpoint, then) -> then.accept(true),
                new VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resumed = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            paused.countDown();
            awaitUnchecked(resumed);
        });
        awaitUnchecked(paused);
        List<Socket> sockets = connectClients(clientAddress());
        resumed.countDown();
        assertResponses(sockets);
    }

    @Test
    void shouldAcceptManyClientsAsSoonAsReady() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT_MILLIS, LARGE_ROUTES);
        platform.addEndpoint("plain-1", "plain", 0);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        try {
            Await.until("the entry is ready", () -> isReady(settings));
            assertResponses(connectClients(clientAddress()));
        } finally {
            entry.close();
        }
    }

    @Test
    void shouldAcceptManyClientsWhileLargeManifestsAreRead() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT_MILLIS);
        platform.addEndpoint("plain-1", "plain", 0);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        try {
            Await.until("the entry is ready", () -> isReady(settings));
            for (int i = 0; i < LARGE_MANIFESTS; i++) {
                platform.publishManifest(3 + i, "key-a", TIMEOUT_MILLIS, LARGE_ROUTES);
                assertResponses(connectClients(clientAddress()));
            }
        } finally {
            entry.close();
        }
    }

    private static boolean isReady(HostedSettings settings) {
        Optional<String> ready = settings.listen().ready();
        InetSocketAddress address = Addresses.parse(ready.orElseThrow());
        try (Socket platform = new Socket(address.getAddress(), address.getPort())) {
            platform.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            platform.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return statusLine(platform).startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            // The entry does not listen yet.
            return false;
        }
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            if (!latch.await(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new AssertionError("no event within " + RESPONSE_TIMEOUT_MILLIS + " ms");
            }
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted", e);
        }
    }
}
