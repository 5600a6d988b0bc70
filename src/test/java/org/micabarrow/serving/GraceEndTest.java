package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;

/** An entry that stops cuts no request that it has passed on, whatever its clients send until it is gone. */
class GraceEndTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long GRACE_MILLIS = 1_600;

    /** The size of the body that {@link #head} states. */
    private static final String BODY = "a body";

    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");

    private HostedSystem platform;
    private HostedSettings settings;
    private HostedEntryProcess entry;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        settings = GracePeriods.withGrace(platform.entrySettings(), GRACE_MILLIS);
        entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoints", () -> entry.takesRequests() && entry.endpoints() == 2);
    }

    @AfterEach
    void stop() throws Exception {
        platform.close();
    }

    private CompletableFuture<Void> closeAsync() {
        return CompletableFuture.runAsync(() -> {
            try {
                entry.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private int received() {
        return platform.endpoints().values().stream()
                .mapToInt(endpoint -> endpoint.received().size())
                .sum();
    }

    // -- clients

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        socket.connect(Addresses.parse(settings.listen().clients().orElseThrow()));
        return socket;
    }

    private static String head(String attempt) {
        return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: 9000\r\nContent-Length: " + BODY.length() + "\r\n\r\n";
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The statuses on a connection until its end, orderly or not. */
    private static List<String> statuses(Socket connection) throws IOException {
        return STATUS.matcher(SocketText.readToEnd(connection.getInputStream()))
                .results()
                .map(match -> match.group(1))
                .toList();
    }

    @Test
    void shouldAnswerRequestsSentAheadWhenGraceEnds() throws Exception {
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        try (Socket connection = connect()) {
            write(connection, head("a-1") + BODY + head("a-2") + BODY + head("a-3") + BODY);
            Await.until("the first request", () -> received() == 1);
            entry.close();
            assertEquals(List.of("504", "503", "503"), statuses(connection));
            assertEquals(1, received());
        }
    }

    /** One body comes to its end late in the grace, one does not. */
    @Test
    void shouldRefuseBodyThatEndsLateAndNotWaitForOneThatNeverEnds() throws Exception {
        try (Socket late = connect();
                Socket never = connect();
                Socket probe = connect()) {
            write(late, head("late") + BODY.substring(0, 2));
            write(never, head("never") + BODY.substring(0, 2));
            Await.until("both heads", () -> entry.open() == 2);
            CompletableFuture<Void> stopped = closeAsync();
            awaitRefusal(probe);
            write(late, BODY.substring(2));
            SocketText.readUntil(late.getInputStream(), "HTTP/1.1 503");
            stopped.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            assertFalse(platform.endpoints().values().stream()
                    .flatMap(endpoint -> endpoint.received().stream())
                    .anyMatch(request -> "late".equals(request.headers().get("Attempt-Id"))));
        }
    }

    /** Asks until the entry refuses everything, on new connections after the first. */
    private void awaitRefusal(Socket first) throws IOException {
        write(first, head("probe") + BODY);
        Await.until("a refusal", () -> {
            try (Socket next = connect()) {
                write(next, head("probe").replace("Host", "Connection: close\r\nHost") + BODY);
                return statuses(next).equals(List.of("503"));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    // -- clients that go on until the entry is gone

    /** What clients have seen of requests that they had sent whole. */
    private static final class Seen {
        private final Map<String, String> statuses = new ConcurrentHashMap<>();
        private final Set<String> cut = ConcurrentHashMap.newKeySet();

        private long count(String status) {
            return statuses.values().stream().filter(status::equals).count();
        }
    }

    /** Sends one request after the other until nothing listens any more. */
    private void sendUntilGone(String caller, boolean keepsConnections, Seen seen) {
        int sent = 0;
        boolean gone = false;
        while (!gone && !Thread.currentThread().isInterrupted()) {
            try (Socket connection = connect()) {
                boolean goesOn = true;
                while (goesOn) {
                    String id = caller + "-" + sent++;
                    seen.cut.add(id);
                    write(connection, head(id) + BODY);
                    String status = readResponse(connection);
                    seen.cut.remove(id);
                    seen.statuses.put(id, status.substring(0, 3));
                    goesOn = keepsConnections && !status.contains("close");
                }
            } catch (ConnectException e) {
                gone = true;
            } catch (IOException e) {
                // The connection was closed: whether its request had been passed on is seen at the endpoint.
                gone = false;
            }
        }
    }

    /** The status of a response, and {@code close} if its connection is not kept. */
    private static String readResponse(Socket connection) throws IOException {
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            int next = connection.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            read.append((char) next);
        }
        String head = read.toString().toLowerCase(Locale.ROOT);
        int lengthAt = head.indexOf("content-length: ") + "content-length: ".length();
        int length = Integer.parseInt(head.substring(lengthAt, head.indexOf("\r\n", lengthAt)));
        connection.getInputStream().readNBytes(length);
        return head.substring("http/1.1 ".length(), "http/1.1 ".length() + 3)
                + (head.contains("connection: close") ? " close" : "");
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldCutNothingThatWasPassedOnWhenClientsGoOnUntilEnd(boolean keepsConnections) throws Exception {
        Seen seen = new Seen();
        ExecutorService callers = Executors.newCachedThreadPool();
        try {
            List<CompletableFuture<Void>> ends = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                String caller = "c" + i;
                ends.add(CompletableFuture.runAsync(() -> sendUntilGone(caller, keepsConnections, seen), callers));
            }
            Await.until("answers", () -> seen.count("200") > 100);
            CompletableFuture<Void> stopped = closeAsync();
            platform.publishManifest(3, "key-a", TIMEOUT.toMillis());
            platform.crash("plain-2");
            stopped.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new))
                    .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } finally {
            callers.shutdownNow();
        }
        Set<String> passedOn = platform.endpoints().values().stream()
                .flatMap(endpoint -> endpoint.received().stream())
                .map(request -> request.headers().get("Attempt-Id"))
                .collect(Collectors.toSet());
        assertEquals(
                List.of(),
                seen.cut.stream().filter(passedOn::contains).toList(),
                "passed on and cut without an answer");
        assertTrue(seen.count("503") > 0, "the stop was noticed");
    }
}
