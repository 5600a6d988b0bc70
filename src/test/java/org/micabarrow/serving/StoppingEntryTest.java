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
import org.micabarrow.SocketText;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.memory.HeldBytes;
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

/**
 * Guards against an entry that stops without responding to a request that it has read, or that reads requests it will
 * not respond to.
 */
class StoppingEntryTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Long enough that a stop waits for an open request, in milliseconds. */
    private static final long GRACE_MILLIS = 60_000;

    private static final Pattern RESPONSE = Pattern.compile("HTTP/1\\.1 200");
    private static final Pattern CLOSE = Pattern.compile("(?i)connection: close");

    private HostedSystem platform;
    private HostedSettings settings;
    private HttpClient client;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("plain-1", "plain", 0);
        settings = platform.entrySettings();
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
        connected.setSoTimeout((int) TIMEOUT.toMillis());
        return connected;
    }

    private static void send(Socket connection, int requests) throws IOException {
        String request = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 3000\r\nContent-Length: 6\r\n\r\na body";
        connection.getOutputStream().write(request.repeat(requests).getBytes(StandardCharsets.US_ASCII));
    }

    private static long count(Pattern pattern, String text) {
        return pattern.matcher(text).results().count();
    }

    // -- the process

    private HostedEntryProcess startEntry() throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return entry;
    }

    private static CompletableFuture<Void> closeAsync(HostedEntryProcess entry) {
        return CompletableFuture.runAsync(() -> {
            try {
                entry.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    @Test
    void shouldReadNothingAfterStop() throws Exception {
        HostedEntryProcess entry = startEntry();
        try (Socket idle = connect()) {
            entry.close();
            // A request that is read after the last check for open requests would end with the process, without a
            // response.
            assertEquals("", afterSending(idle).replace("(reset)", ""));
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
        return SocketText.readToEnd(connection.getInputStream());
    }

    @Test
    void shouldRefuseNewRequestsUntilLastOneInFlightHasResponse() throws Exception {
        settings = GracePeriods.withGrace(settings, GRACE_MILLIS);
        HostedEntryProcess entry = startEntry();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        String clients = settings.listen().clients().orElseThrow();
        HttpCall open = HostedSystem.request(clients, "/again/x", "attempt-1").withHeader("Deadline-Ms", "9000");
        Runnable cancel = client.send(open, new IgnoringListener());
        Await.until("the open request", () -> platform.endpoint("plain-1").unansweredCount() == 1);
        CompletableFuture<Void> stopped = closeAsync(entry);
        HttpCall other = HostedSystem.request(clients, "/once/x", "attempt-2");
        Await.until(
                "a refusal",
                () -> client.call(other, TIMEOUT)
                        .toOptional()
                        .filter(response -> response.status() == 503)
                        .isPresent());
        cancel.run();
        stopped.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertTrue(client.call(other, TIMEOUT).cause().isPresent(), "nothing listens any more");
    }

    @Test
    void shouldReportUnknownOutcomeWhenGracePeriodEnds() throws Exception {
        HostedEntryProcess entry = startEntry();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        String clients = settings.listen().clients().orElseThrow();
        HttpCall open = HostedSystem.request(clients, "/once/x", "attempt-1").withHeader("Deadline-Ms", "9000");
        CompletableFuture<Integer> status = CompletableFuture.supplyAsync(
                () -> client.call(open, TIMEOUT).toOptional().orElseThrow().status());
        Await.until("the open request", () -> platform.endpoint("plain-1").unansweredCount() == 1);
        entry.close();
        assertEquals(0, entry.open(), "no request ends with the process without a response");
        assertEquals(504, status.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        Await.until(
                "the cancellation at the endpoint",
                () -> platform.endpoint("plain-1").unansweredCount() == 0);
    }

    // -- connections

    /** Runs an action when the first response of an endpoint has arrived, before it is forwarded to the client. */
    private static final class FirstResponseHook extends ForwardingProtocol {

        private final AtomicReference<Runnable> onFirstResponse = new AtomicReference<>(() -> {});

        @Override
        public ResponseHead decodeHead(ClientRequest request, int status, HeaderFields received) {
            onFirstResponse.getAndSet(() -> {}).run();
            return super.decodeHead(request, status, received);
        }
    }

    /**
     * Returns what a client receives that sends several requests at once, while the entry begins to stop before it
     * responds to the first.
     */
    private String responsesWhenStopBegins(int requests) throws IOException {
        XnioWorker worker = HttpClient.worker("stopping-entry", 1);
        ViewMaintainer views = new ViewMaintainer(new StoreRecords(), StoppingEntryTest::monotonicMillis);
        FirstResponseHook protocol = new FirstResponseHook();
        ServingHandler handler = ServingHandler.of(new ServingHandler.Dependencies(
                views::view,
                new EndpointSelector("region-a", Map.of("hall-a", "region-a")),
                HttpClient.onWorker(worker, 0),
                protocol,
                new RequestHeaders(RandomGenerator.of("L64X128MixRandom")),
                new RetryBudget(0, 0),
                new MetricRegistry(),
                StoppingEntryTest::monotonicMillis,
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(GRACE_MILLIS, GRACE_MILLIS, GRACE_MILLIS),
                new ManifestAge(OptionalLong::empty, 0),
                CrashTracking.disabled(),
                new HeldBytes(Runtime.getRuntime().maxMemory())));
        protocol.onFirstResponse.set(handler.connections()::startDraining);
        String clients = settings.listen().clients().orElseThrow();
        HttpListener.startOnWorker(clients, HttpListener.Limits.defaults(), worker, handler);
        TopicFollowers.startAndAwaitView(client, settings, TIMEOUT, views, StoppingEntryTest::monotonicMillis);
        try (Socket connection = connect()) {
            send(connection, requests);
            return SocketText.readToEnd(connection.getInputStream());
        } finally {
            worker.shutdownNow();
        }
    }

    private static long monotonicMillis() {
        return System.nanoTime() / 1_000_000;
    }

    @Test
    void shouldCloseConnectionWhenStopBeganDuringRequest() throws IOException {
        String responses = responsesWhenStopBegins(1);
        assertEquals(1, count(RESPONSE, responses), responses);
        assertEquals(1, count(CLOSE, responses), responses);
    }

    @Test
    void shouldRespondToAllPipelinedRequestsWhenStopBegins() throws IOException {
        String responses = responsesWhenStopBegins(3);
        assertEquals(3, count(RESPONSE, responses), responses);
        assertEquals(1, count(CLOSE, responses), responses);
    }
}
