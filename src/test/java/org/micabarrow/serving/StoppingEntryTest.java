package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.RequestHeaders;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.routing.EndpointSelector;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.IgnoringListener;
import org.micabarrow.views.ViewMaintainer;
import org.xnio.XnioWorker;

/** What an entry that stops has read is answered, and what it does not answer it does not read. */
class StoppingEntryTest {

    private static final Duration WITHIN = Duration.ofSeconds(10);

    /** So long that a stop waits for a request that is open, in milliseconds. */
    private static final long GRACE_MILLIS = 60_000;

    private static final Pattern ANSWER = Pattern.compile("HTTP/1\\.1 200");
    private static final Pattern CLOSE = Pattern.compile("(?i)connection: close");

    private HostedSystem platform;
    private HostedSettings settings;
    private HttpClient client;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        platform.manifest(2, "key-a", WITHIN.toMillis());
        platform.add("plain-1", "plain", 0);
        settings = platform.entry();
        client = HttpClient.start("client", 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    // -- clients

    private Socket connect() throws IOException {
        InetSocketAddress clients = Addresses.parse(settings.listen().clients().orElseThrow());
        Socket connected = new Socket(clients.getAddress(), clients.getPort());
        connected.setSoTimeout((int) WITHIN.toMillis());
        return connected;
    }

    private static void send(Socket connection, int requests) throws IOException {
        String request = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\na body";
        connection.getOutputStream().write(request.repeat(requests).getBytes(StandardCharsets.US_ASCII));
    }

    /** What comes on a connection before its end, in good order or not. */
    private static String read(Socket connection) throws IOException {
        StringBuilder read = new StringBuilder();
        try {
            for (int one = connection.getInputStream().read();
                    one >= 0;
                    one = connection.getInputStream().read()) {
                read.append((char) one);
            }
        } catch (SocketException e) {
            read.append("(reset)");
        }
        return read.toString();
    }

    private static long count(Pattern pattern, String text) {
        return pattern.matcher(text).results().count();
    }

    // -- the process

    private HostedEntryProcess begin() throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return entry;
    }

    private static CompletableFuture<Void> stopping(HostedEntryProcess entry) {
        return CompletableFuture.runAsync(() -> {
            try {
                entry.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Test
    void shouldReadNothingOnceItHasStopped() throws Exception {
        HostedEntryProcess entry = begin();
        try (Socket unused = connect()) {
            entry.close();
            // Whatever is read after the last look for open requests ends with the process, without an answer.
            assertEquals("", afterSending(unused).replace("(reset)", ""));
            assertEquals(0, platform.endpoint("plain-1").received().size());
        }
        assertThrows(ConnectException.class, this::connect);
    }

    private static String afterSending(Socket connection) throws IOException {
        try {
            send(connection, 1);
        } catch (SocketException e) {
            return "(reset)";
        }
        return read(connection);
    }

    @Test
    void shouldRefuseUntilLastOpenRequestIsAnswered() throws Exception {
        HostedSettings.Bounds usual = settings.bounds();
        settings = new HostedSettings(
                settings.instance(),
                settings.regions(),
                settings.listen(),
                settings.peerPort(),
                settings.seeds(),
                settings.store(),
                settings.endpoint(),
                settings.service(),
                settings.linkBitsPerSecond(),
                new HostedSettings.Bounds(
                        usual.versionMillis(),
                        usual.configurationMillis(),
                        usual.drainMillis(),
                        GRACE_MILLIS,
                        usual.retryShare(),
                        usual.retrySlack(),
                        usual.crashMemoryMillis(),
                        usual.crashesKept()),
                settings.log());
        HostedEntryProcess entry = begin();
        platform.next(Behaviour.HANG);
        String clients = settings.listen().clients().orElseThrow();
        HttpCall open = HostedSystem.request(clients, "/again/x", "attempt-1").withHeader("Deadline-Ms", "9000");
        Runnable leave = client.send(open, new IgnoringListener());
        Await.until("the open request", () -> platform.endpoint("plain-1").hanging() == 1);
        CompletableFuture<Void> stopped = stopping(entry);
        HttpCall other = HostedSystem.request(clients, "/once/x", "attempt-2");
        Await.until(
                "a refusal",
                () -> client.call(other, WITHIN)
                        .toOptional()
                        .filter(answer -> answer.status() == 503)
                        .isPresent());
        leave.run();
        stopped.get(WITHIN.toSeconds(), TimeUnit.SECONDS);
        assertTrue(client.call(other, WITHIN).cause().isPresent(), "nothing is there any more");
    }

    @Test
    void shouldTellClientThatItsOutcomeIsUnknownWhenGraceIsOver() throws Exception {
        HostedEntryProcess entry = begin();
        platform.next(Behaviour.HANG);
        String clients = settings.listen().clients().orElseThrow();
        HttpCall open = HostedSystem.request(clients, "/once/x", "attempt-1").withHeader("Deadline-Ms", "9000");
        CompletableFuture<Integer> status = CompletableFuture.supplyAsync(
                () -> client.call(open, WITHIN).toOptional().orElseThrow().status());
        Await.until("the open request", () -> platform.endpoint("plain-1").hanging() == 1);
        entry.close();
        assertEquals(0, entry.open(), "nothing ends with the process without an answer");
        assertEquals(504, status.get(WITHIN.toSeconds(), TimeUnit.SECONDS));
        Await.until(
                "the end at the endpoint", () -> platform.endpoint("plain-1").hanging() == 0);
    }

    // -- connections

    /** Tells when the first answer of an endpoint is here, and not yet on its way to the client. */
    private static final class Answering implements EndpointProtocol {

        private final EndpointHeaders headers = new EndpointHeaders();
        private final AtomicReference<Runnable> first = new AtomicReference<>(() -> {});

        @Override
        public HttpCall call(ClientRequest request, Sending sending) {
            return headers.call(request, sending);
        }

        @Override
        public AnswerHead head(ClientRequest request, int status, Map<String, String> received) {
            first.getAndSet(() -> {}).run();
            return headers.head(request, status, received);
        }
    }

    /** What a client reads that sends some requests at once, while the entry begins to stop before it answers the first. */
    private String answersWhenStopBegins(int requests) throws IOException {
        XnioWorker worker = HttpClient.worker("stopping-entry", 1);
        ViewMaintainer views = new ViewMaintainer(new StoreRecords(), StoppingEntryTest::steadyMillis);
        Answering protocol = new Answering();
        ServingHandler handler = ServingHandler.of(new ServingHandler.Parts(
                views::view,
                new EndpointSelector("region-a", Map.of("hall-a", "region-a")),
                HttpClient.onWorker(worker, 0),
                protocol,
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                new RetryBudget(0, 0),
                new MetricRegistry(),
                StoppingEntryTest::steadyMillis,
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(GRACE_MILLIS, GRACE_MILLIS, GRACE_MILLIS),
                new ManifestAge(OptionalLong::empty, 0),
                CrashTracking.unnoticed()));
        protocol.first.set(handler.connections()::leave);
        String clients = settings.listen().clients().orElseThrow();
        HttpListener.startOnWorker(clients, HttpListener.Limits.defaults(), worker, handler);
        FollowedStore.follow(client, settings, WITHIN, views);
        try (Socket connection = connect()) {
            send(connection, requests);
            return read(connection);
        } finally {
            worker.shutdownNow();
        }
    }

    private static long steadyMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Test
    void shouldAskClientToLeaveWhenStopBeganDuringItsRequest() throws IOException {
        String answers = answersWhenStopBegins(1);
        assertEquals(1, count(ANSWER, answers), answers);
        assertEquals(1, count(CLOSE, answers), answers);
    }

    @Test
    void shouldAnswerAllThatWasReadWhenClientSentTheNextAlready() throws IOException {
        String answers = answersWhenStopBegins(3);
        assertEquals(3, count(ANSWER, answers), answers);
        assertEquals(1, count(CLOSE, answers), answers);
    }
}
