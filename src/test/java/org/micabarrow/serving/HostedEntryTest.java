package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.platform.standin.ReceivedRequest;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Tests an entry end to end on the users' platform, against stand-ins over real sockets. */
class HostedEntryTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /**
     * The key of the manifest with the long timeouts, so that a successful request with it shows that this manifest is
     * active.
     */
    private static final String LONG_TIMEOUT_KEY = "key-b";

    /** Six times as long as a test waits, so that no timeout ends a request before the test does. */
    private static final String LONG_TIMEOUT_MILLIS = "60000";

    private HostedSystem platform;
    private HttpClient caller;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        caller = HttpClient.start("test", 1);
        settings = platform.entrySettings();
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    // -- endpoints

    @ParameterizedTest
    @CsvSource({
        "ANSWER,        /once/x,  200, 1",
        "REFUSE,        /once/x,  200, 2",
        "MISDIRECT,     /once/x,  200, 2",
        "UNAVAILABLE,   /once/x,  502, 1",
        "FAIL,          /once/x,  500, 1",
        "RESET,         /once/x,  502, 1",
        "TRUNCATE,      /once/x,  502, 1",
        "WRONG_ATTEMPT, /once/x,  502, 1",
        "UNSIGNED,      /once/x,  502, 1",
        "FAIL,          /again/x, 200, 2",
        "RESET,         /again/x, 200, 2",
        "TRUNCATE,      /again/x, 200, 2",
        "WRONG_ATTEMPT, /again/x, 200, 2",
        "UNSIGNED,      /again/x, 200, 2"
    })
    void shouldRetryOnlyRequestsThatMayRunAgain(Behaviour first, String path, int status, int attempts)
            throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        startEntry(2);
        platform.enqueueBehaviour(first);
        HttpResponse response = sendRequest(path, Map.of());
        assertEquals(status, response.status(), () -> "received: " + received());
        assertEquals(attempts, received().size());
    }

    @Test
    void shouldAvoidEndpointWhenAnotherIsAtItsAddress() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        startEntry(2);
        platform.enqueueBehaviour(Behaviour.MISDIRECT);
        HttpResponse first = sendRequest("/once/x", Map.of());
        HttpResponse second = sendRequest("/once/x", Map.of());
        assertEquals(200, first.status());
        assertEquals(
                first.headers().first("Instance-Id").orElseThrow(),
                second.headers().first("Instance-Id").orElseThrow(),
                "the misdirected endpoint is not used for the second request");
        assertEquals(3, received().size());
    }

    @Test
    void shouldNotRetryNonIdempotentRequestWhenItsConnectionBreaks() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        startEntry(2);
        platform.enqueueBehaviour(Behaviour.RESET);
        assertEquals(502, sendRequest("/once/x", Map.of()).status());
        assertEquals(1, received().size());
    }

    @Test
    void shouldNotReportNotRunWhenRequestRanAndFailed() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        platform.enqueueBehaviour(Behaviour.FAIL);
        assertEquals(500, sendRequest("/again/x", Map.of()).status(), "no other endpoint: the response is forwarded");
        platform.enqueueBehaviour(Behaviour.RESET);
        assertEquals(502, sendRequest("/again/x", Map.of()).status(), "no other endpoint, and it may have run");
    }

    @Test
    void shouldForwardRequestUnchanged() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        sendRequest(
                "/once/a%20b//c?q=%2F&q=2", Map.of("X-Other", "kept", "Tenant", "forged", "Expect-Instance", "forged"));
        ReceivedRequest received = received().getFirst();
        assertEquals("/once/a%20b//c?q=%2F&q=2", received.target());
        assertEquals("a body", received.body());
        assertEquals("kept", received.headers().get("X-Other"));
        assertEquals("org-a", received.headers().get("Tenant"));
        assertEquals("plain-1", received.headers().get("Expect-Instance"));
        assertFalse(received.headers().containsKey("Key"));
    }

    @Test
    void shouldResumeAfterLastCompleteEventWhenStreamBreaks() throws Exception {
        platform.addEndpoint("model-1", "models", 1);
        platform.addEndpoint("model-2", "models", 1);
        startEntry(2);
        platform.enqueueBehaviour(Behaviour.TRUNCATE);
        HttpResponse response = sendRequest("/stream/x", Map.of("Model", "model-a", "Token-Count", "100,20"));
        String body = new String(response.body(), StandardCharsets.UTF_8);
        assertEquals(
                List.of("id: 1", "id: 2", "id: 3"),
                body.lines().filter(line -> line.startsWith("id:")).toList());
    }

    @Test
    void shouldBreakResponseOffWhenStreamBreaksTooOften() throws Exception {
        platform.addEndpoint("model-1", "models", 1);
        platform.addEndpoint("model-2", "models", 1);
        startEntry(2);
        platform.enqueueBehaviour(Behaviour.TRUNCATE);
        platform.enqueueBehaviour(Behaviour.TRUNCATE);
        assertEquals(
                0,
                sendRequest("/stream/x", Map.of("Model", "model-a", "Token-Count", "100,20"))
                        .status());
    }

    @Test
    void shouldSwitchEndpointWhenInstanceBecomesUnresponsive() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("model-1", "models", 1);
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        InetAddress instance = Addresses.parse(platform.address("model-1")).getAddress();
        try (DatagramSocket agent = new DatagramSocket(settings.peerPort(), instance)) {
            startEntry(1);
            replyWithLoad(agent);
            Map<String, String> headers = Map.of("Model", "model-a", "Token-Count", "100,20", "Deadline-Ms", "9000");
            CompletableFuture<HttpResponse> response =
                    CompletableFuture.supplyAsync(() -> sendRequest("/stream/x", headers));
            waitUntil(() -> platform.endpoint("model-1").unansweredCount() == 1);
            platform.addEndpoint("model-2", "models", 1);
            // The agent replies to no further queries, and the endpoint sends nothing.
            assertEquals(
                    200, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
            waitUntil(() -> platform.endpoint("model-1").unansweredCount() == 0);
        }
    }

    /** Replies to one query as the agent of an idle endpoint would. */
    private static void replyWithLoad(DatagramSocket agent) throws IOException {
        DatagramPacket query = new DatagramPacket(new byte[512], 512);
        agent.receive(query);
        int number = ByteBuffer.wrap(query.getData()).getInt();
        ByteBuffer reply = ByteBuffer.allocate(4 * Integer.BYTES + 2 * Long.BYTES + 3);
        reply.putInt(number).putInt(0).putInt(0).putInt(Integer.MAX_VALUE).putLong(1);
        agent.send(new DatagramPacket(reply.array(), reply.capacity(), query.getSocketAddress()));
    }

    // -- clients

    @ParameterizedTest
    @CsvSource({
        "h.example, /none/x, key-a, 404",
        "other.example, /once/x, key-a, 404",
        "h.example, /once/x, key-b, 401",
        "h.example, /once/x, '', 401"
    })
    void shouldRefuseRequestsThatManifestDoesNotAllow(String host, String path, String key, int status)
            throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        Map<String, String> headers = new HashMap<>(Map.of("Host", host, "Key", key));
        assertEquals(status, sendRequest(path, headers).status());
        assertEquals(0, received().size());
    }

    @Test
    void shouldRefuseBodyAboveManifestLimit() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        assertEquals(413, sendRequest("/once/x", Map.of(), "x".repeat(1_001)).status());
        assertEquals(0, received().size());
    }

    @Test
    void shouldCancelAtEndpointWhenClientDisconnects() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        HostedEntryProcess entry = startWithLongTimeouts();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        HttpClient disconnectingClient = HttpClient.start("disconnecting", 1);
        HttpCall call = call("/again/x", Map.of("Key", LONG_TIMEOUT_KEY, "Deadline-Ms", LONG_TIMEOUT_MILLIS), "a body");
        assertTrue(
                disconnectingClient.call(call, Duration.ofMillis(300)).cause().isPresent());
        disconnectingClient.close();
        waitUntil(() -> entry.open() == 0);
        waitUntil(() -> platform.endpoint("plain-1").unansweredCount() == 0);
    }

    /** Combines each way to send a body with each way to disconnect. */
    @ParameterizedTest
    @CsvSource({
        "NONE,    CLOSE",
        "NONE,    HALF_CLOSE",
        "NONE,    RESET",
        "AT_ONCE, CLOSE",
        "AT_ONCE, HALF_CLOSE",
        "AT_ONCE, RESET",
        "LATER,   CLOSE",
        "LATER,   HALF_CLOSE",
        "LATER,   RESET",
        "CHUNKED, CLOSE",
        "CHUNKED, HALF_CLOSE",
        "CHUNKED, RESET"
    })
    void shouldCancelAtEndpointWhenClientDisconnectsAfterAnyBody(Body body, Disconnect disconnect) throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        HostedEntryProcess entry = startWithLongTimeouts();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        InetSocketAddress clients = Addresses.parse(settings.listen().clients().orElseThrow());
        try (Socket client = new Socket(clients.getAddress(), clients.getPort())) {
            String head = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nKey: " + LONG_TIMEOUT_KEY
                    + "\r\nAttempt-Id: a\r\nDeadline-Ms: " + LONG_TIMEOUT_MILLIS + "\r\n";
            client.getOutputStream().write((head + body.first).getBytes(StandardCharsets.US_ASCII));
            waitUntil(() -> entry.open() == 1);
            client.getOutputStream().write(body.remainder.getBytes(StandardCharsets.US_ASCII));
            waitUntil(() -> platform.endpoint("plain-1").unansweredCount() == 1);
            disconnect.apply(client);
            waitUntil(() -> entry.open() == 0);
            waitUntil(() -> platform.endpoint("plain-1").unansweredCount() == 0);
        }
    }

    /**
     * The end of a request's head and its body: what is sent first, and what is sent once the entry has received that.
     */
    private enum Body {
        NONE("\r\n", ""),
        AT_ONCE("Content-Length: 6\r\n\r\na body", ""),
        LATER("Content-Length: 6\r\n\r\n", "a body"),
        CHUNKED("Transfer-Encoding: chunked\r\n\r\n2\r\na \r\n", "4\r\nbody\r\n0\r\n\r\n");

        private final String first;
        private final String remainder;

        Body(String first, String remainder) {
            this.first = first;
            this.remainder = remainder;
        }
    }

    /** How a client disconnects. */
    private enum Disconnect {
        CLOSE,
        HALF_CLOSE,
        RESET;

        private void apply(Socket client) throws IOException {
            switch (this) {
                case CLOSE -> client.close();
                case HALF_CLOSE -> client.shutdownOutput();
                case RESET -> {
                    // With a linger time of 0, close() resets the connection.
                    client.setSoLinger(true, 0);
                    client.close();
                }
            }
        }
    }

    // -- shutdown

    @Test
    void shouldCloseIdleConnectionsWhenStopping() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        HostedEntryProcess entry = startEntry(1);
        InetSocketAddress clients = Addresses.parse(settings.listen().clients().orElseThrow());
        try (Socket idle = new Socket(clients.getAddress(), clients.getPort())) {
            idle.setSoTimeout((int) TIMEOUT.toMillis());
            idle.getOutputStream().write("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n".getBytes());
            assertTrue(idle.getInputStream().read() >= 0, "a response, after which the connection is idle");
            Thread stopping = new Thread(() -> {
                try {
                    entry.close();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            stopping.start();
            waitUntil(() -> !entry.takesRequests());
            assertEquals(200, sendRequest("/once/x", Map.of()).status(), "requests are still served at first");
            idle.getInputStream().readAllBytes();
            stopping.join();
        }
        assertEquals(0, sendRequest("/once/x", Map.of()).status(), "then none is accepted");
    }

    // -- operators

    @Test
    void shouldRefuseKeyWhenManifestRemovesIt() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        assertEquals(200, sendRequest("/once/x", Map.of()).status());
        platform.publishManifest(2, "key-b", 2_000);
        waitUntil(() -> sendRequest("/once/x", Map.of()).status() == 401);
    }

    @Test
    void shouldKeepLastManifestWhenNewOneCannotBeRead() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        platform.store().append("keyed.op", "config", "{\"version\":3}");
        platform.addEndpoint("plain-2", "plain", 0);
        assertEquals(200, sendRequest("/once/x", Map.of()).status());
    }

    @Test
    void shouldSendNothingToDrainingEndpoint() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        platform.register("plain-1", "plain", 0, "draining");
        waitUntil(() -> sendRequest("/once/x", Map.of()).status() == 503);
        int before = received().size();
        HttpResponse refused = sendRequest("/once/x", Map.of());
        assertEquals(503, refused.status());
        assertTrue(refused.headers().contains("Retry-After"));
        assertEquals(before, received().size());
    }

    @Test
    void shouldServeFromOtherEndpointsWhenAnotherWriterCorruptsRecords() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        HostedEntryProcess entry = startEntry(2);
        HostedStoreStandin store = platform.store();
        store.appendRaw("keyed.servers", new byte[0]);
        store.appendRaw("keyed.servers", new byte[] {9, 'a'});
        store.append("keyed.servers", "plain-1", new byte[] {'{', (byte) 0xFF});
        store.append("keyed.servers", "other-1", "{\"service\":\"plain\",\"address\":\"nowhere\",\"state\":\"ready\"}");
        waitUntil(() -> entry.endpoints() == 1);
        for (int request = 0; request < 4; request++) {
            assertEquals(200, sendRequest("/once/x", Map.of()).status());
        }
        assertEquals(List.of(), platform.endpoint("plain-1").received());
        platform.register("plain-1", "plain", 0, "ready");
        waitUntil(() -> entry.endpoints() == 2);
    }

    @Test
    void shouldKeepServingWhenStoreRefuses() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        startEntry(1);
        platform.store().setRefusalStatus(Optional.of(503));
        assertEquals(200, sendRequest("/once/x", Map.of()).status());
    }

    // -- helpers

    private HostedEntryProcess startEntry(int endpoints) throws Exception {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        waitUntil(() -> entry.takesRequests() && entry.endpoints() == endpoints);
        return entry;
    }

    /** Starts an entry with one endpoint and with routes whose timeout is far longer than any wait of a test. */
    private HostedEntryProcess startWithLongTimeouts() throws Exception {
        platform.publishManifest(2, LONG_TIMEOUT_KEY, Long.parseLong(LONG_TIMEOUT_MILLIS));
        HostedEntryProcess entry = startEntry(1);
        waitUntil(() -> sendRequest("/again/x", Map.of("Key", LONG_TIMEOUT_KEY)).status() == 200);
        waitUntil(() -> entry.open() == 0);
        return entry;
    }

    private List<ReceivedRequest> received() {
        return Stream.of("plain-1", "plain-2")
                .map(platform::endpoint)
                .filter(Objects::nonNull)
                .flatMap(one -> one.received().stream())
                .toList();
    }

    private HttpCall call(String path, Map<String, String> more, String body) {
        Map<String, String> headers = new HashMap<>(
                Map.of("Host", "h.example", "Key", "key-a", "Attempt-Id", "attempt-1", "Deadline-Ms", "3000"));
        headers.putAll(more);
        URI uri = URI.create("http://" + settings.listen().clients().orElseThrow());
        return new HttpCall(
                Step.READ,
                "POST",
                uri,
                Optional.of(path),
                HeaderFields.of(headers),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private HttpResponse sendRequest(String path, Map<String, String> more) {
        return sendRequest(path, more, "a body");
    }

    private HttpResponse sendRequest(String path, Map<String, String> more, String body) {
        return caller.call(call(path, more, body), TIMEOUT)
                .toOptional()
                .orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]));
    }

    private static void waitUntil(BooleanSupplier condition) {
        long until = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "timed out waiting for the condition");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
        }
    }
}
