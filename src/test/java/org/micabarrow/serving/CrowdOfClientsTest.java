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

/** An entry that says that it is ready accepts whoever connects, and answers each, however many come at once. */
class CrowdOfClientsTest extends ServingFixture {

    private static final int CLIENTS = 64;

    /** Within which a client must be answered: the users' bound for connections to a ready entry. */
    private static final int ANSWERED_MILLIS = 4_000;

    /** As many as a large manifest of the users has. */
    private static final int LARGE_ROUTES = 1_640;

    private static final int LARGE_MANIFESTS = 12;
    private static final long TIMEOUT_MILLIS = 3_000;

    private static final String REQUEST = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
            + "Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\na body";

    // -- clients

    private static List<Socket> crowd(String entry) throws IOException {
        InetSocketAddress address = Addresses.parse(entry);
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Socket client = new Socket();
            client.setSoTimeout(ANSWERED_MILLIS);
            client.connect(address, ANSWERED_MILLIS);
            client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            crowd.add(client);
        }
        return crowd;
    }

    private static String statusLine(Socket client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int one = client.getInputStream().read();
                one >= 0 && one != '\r';
                one = client.getInputStream().read()) {
            line.append((char) one);
        }
        return line.toString();
    }

    /** Reads what each client is answered, and closes its connection. */
    private static List<String> answers(List<Socket> crowd) throws IOException {
        List<String> answers = new ArrayList<>();
        for (Socket client : crowd) {
            try (client) {
                answers.add(statusLine(client));
            }
        }
        return answers;
    }

    private static void assertAnswered(List<Socket> crowd) throws IOException {
        // Sixty-four at once are more than a plain endpoint takes, so that some are refused; none is left without an
        // answer.
        List<String> answers = answers(crowd);
        long answered = answers.stream()
                .filter(line -> line.startsWith("HTTP/1.1 200") || line.startsWith("HTTP/1.1 503"))
                .count();
        assertEquals(CLIENTS, answered, answers::toString);
    }

    // -- an entry

    @Test
    void shouldAcceptAndAnswerCrowdThatCameWhileItsTrafficStoodStill() throws Exception {
        platform.manifest(2, "key-a", TIMEOUT_MILLIS);
        platform.add("plain-1", "plain", 0);
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                (endpoint, then) -> then.accept(true),
                new VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
        CountDownLatch standsStill = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            standsStill.countDown();
            awaitUnchecked(goesOn);
        });
        awaitUnchecked(standsStill);
        List<Socket> crowd = crowd(clients());
        goesOn.countDown();
        assertAnswered(crowd);
    }

    @Test
    void shouldAcceptCrowdFromTheMomentItIsReady() throws Exception {
        platform.manifest(2, "key-a", TIMEOUT_MILLIS, LARGE_ROUTES);
        platform.add("plain-1", "plain", 0);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        try {
            Await.until("the entry is ready", () -> saysReady(settings));
            assertAnswered(crowd(clients()));
        } finally {
            entry.close();
        }
    }

    @Test
    void shouldAcceptCrowdWhileLargeManifestsFollowEachOther() throws Exception {
        platform.manifest(2, "key-a", TIMEOUT_MILLIS);
        platform.add("plain-1", "plain", 0);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        try {
            Await.until("the entry is ready", () -> saysReady(settings));
            for (int i = 0; i < LARGE_MANIFESTS; i++) {
                platform.manifest(3 + i, "key-a", TIMEOUT_MILLIS, LARGE_ROUTES);
                assertAnswered(crowd(clients()));
            }
        } finally {
            entry.close();
        }
    }

    private static boolean saysReady(HostedSettings settings) {
        Optional<String> ready = settings.listen().ready();
        InetSocketAddress address = Addresses.parse(ready.orElseThrow());
        try (Socket platform = new Socket(address.getAddress(), address.getPort())) {
            platform.setSoTimeout(ANSWERED_MILLIS);
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
            if (!latch.await(ANSWERED_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new AssertionError("nothing happened for " + ANSWERED_MILLIS + " ms");
            }
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted", e);
        }
    }
}
