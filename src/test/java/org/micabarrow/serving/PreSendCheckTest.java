package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.serving.ServingHandler.AgentQueries;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Checks which requests an entry sends after a pause between its routing decision and the first byte of the request.
 * The pause is simulated by advancing the entry's clock right after the decision, before the connection is established.
 */
class PreSendCheckTest extends ServingFixture {

    /** Longer than an endpoint may take to accept a connection, and well within the client's deadline. */
    private static final long PAUSE_MILLIS = 700;

    /** Longer than an endpoint may take to accept a connection, as in a process that is always slow. */
    private static final long SLOW_MILLIS = 300;

    /** A pause that the connect timeout does not detect. */
    private static final long SHORT_MILLIS = 200;

    private static final int MANY_REQUESTS = 100;

    /** The request that {@link HostedSystem#request} sends, for a client whose socket the test closes itself. */
    private static final String REQUEST =
            "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                    + "Deadline-Ms: 3000\r\nModel: model-a\r\nToken-Count: 100,20\r\nContent-Length: 6\r\n\r\na body";

    /** The deadline that {@link HostedSystem#request} sends. */
    private static final long CLIENT_MILLIS = 3_000;

    private final AtomicReference<Runnable> afterDecision = new AtomicReference<>(() -> {});
    private final AtomicReference<Runnable> everyDecision = new AtomicReference<>(() -> {});

    /** Runs the action that delivers an agent's reply. */
    private final AtomicReference<Consumer<Runnable>> agentReply = new AtomicReference<>(Runnable::run);

    @BeforeEach
    void start() {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpoint("model-1", "models", 1);
        reportIdle("model-1", 1);
    }

    /**
     * Encodes requests as the platform does; encoding the first request runs the action that is set for after the
     * decision.
     */
    private final class PausingProtocol extends ForwardingProtocol {

        @Override
        public HttpCall encode(ClientRequest request, AttemptParameters parameters) {
            HttpCall call = super.encode(request, parameters);
            afterDecision.getAndSet(() -> {}).run();
            everyDecision.get().run();
            return call;
        }
    }

    /**
     * Starts the handler; older versions get nothing after the first time, and requests that they have not begun are
     * cancelled after the second.
     */
    private void serve(long requireAfterMillis, long cancelAfterMillis) throws IOException {
        AgentQueries agentQueries = (endpoint, then) -> {
            reportIdle(endpoint.id(), 1);
            agentReply.get().accept(() -> then.accept(true));
        };
        serve(
                new PausingProtocol(),
                new RetryBudget(0, 0),
                agentQueries,
                new VersionTimes(NEVER_MILLIS, requireAfterMillis, cancelAfterMillis));
    }

    private void pauseAfterDecision(long millis) {
        afterDecision.set(() -> clockMillis.addAndGet(millis));
    }

    private long sentDeadline(String endpoint) {
        return Long.parseLong(
                platform.endpoint(endpoint).received().getFirst().headers().get("Deadline-Ms"));
    }

    // -- tests

    @Test
    void shouldSendRemainingTimeAsOfWriting() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        pauseAfterDecision(SHORT_MILLIS);
        assertEquals(200, sendRequest("/stream/x").status());
        assertEquals(CLIENT_MILLIS - SHORT_MILLIS, sentDeadline("model-1"));
    }

    @Test
    void shouldSendToSameEndpointWhenConnectionIsLateAndChoiceIsUnchanged() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        pauseAfterDecision(PAUSE_MILLIS);
        assertEquals(200, sendRequest("/stream/x").status());
        assertEquals(1, received("model-1"));
        assertEquals(CLIENT_MILLIS - PAUSE_MILLIS, sentDeadline("model-1"));
    }

    @Test
    void shouldDecideAgainWithoutRetryWhenConnectionIsLate() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        Await.until("the endpoints", () -> views.view().endpoints().size() == 3);
        afterDecision.set(() -> {
            clockMillis.addAndGet(PAUSE_MILLIS);
            fill(selector.load("plain-1").idle() ? "plain-2" : "plain-1");
        });
        // The retry budget is empty, and a request that may not be repeated continues as well, since none of its bytes
        // has been sent.
        assertEquals(200, sendRequest("/once/x").status());
        List<String> filled =
                Stream.of("plain-1", "plain-2").filter(id -> received(id) == 0).toList();
        assertEquals(1, filled.size());
        assertFalse(selector.load(filled.getFirst()).idle(), "the endpoint that was chosen first");
    }

    @Test
    void shouldSendAnywayWhenEveryConnectionIsLate() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        platform.addEndpoint("plain-1", "plain", 0);
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        everyDecision.set(() -> clockMillis.addAndGet(SLOW_MILLIS));
        assertEquals(200, sendRequest("/again/x").status());
        assertEquals(1, received("plain-1"));
    }

    /** Starts more requests at an endpoint than it has slots. */
    private void fill(String endpoint) {
        for (int i = 0; i < MANY_REQUESTS; i++) {
            selector.load(endpoint).requestSent(0);
        }
    }

    @Test
    void shouldSendNothingWhenOlderVersionMayNoLongerServe() throws IOException {
        serve(PAUSE_MILLIS / 2, NEVER_MILLIS);
        views.addPeerTarget(MODEL, 2);
        pauseAfterDecision(PAUSE_MILLIS);
        assertEquals(503, sendRequest("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenOlderVersionMayNoLongerBegin() throws IOException {
        serve(NEVER_MILLIS, SHORT_MILLIS);
        views.addPeerTarget(MODEL, 2);
        pauseAfterDecision(SHORT_MILLIS);
        assertEquals(503, sendRequest("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSwitchEndpointWhenOlderVersionMayNoLongerBegin() throws IOException {
        serve(NEVER_MILLIS, SHORT_MILLIS);
        views.addPeerTarget(MODEL, 2);
        afterDecision.set(() -> {
            clockMillis.addAndGet(SHORT_MILLIS);
            platform.addEndpoint("model-2", "models", 2);
            Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
        });
        assertEquals(200, sendRequest("/stream/x").status());
        assertEquals(0, received("model-1"));
        assertEquals(1, received("model-2"));
    }

    @Test
    void shouldSendNothingWhenEndpointBeganToDrainMeanwhile() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        afterDecision.set(() -> {
            platform.register("model-1", "models", 1, "draining");
            Await.until(
                    "its draining state",
                    () -> views.view().endpoints().get("model-1").draining());
        });
        assertEquals(503, sendRequest("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenEndpointIsNoLongerListed() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        afterDecision.set(() -> {
            platform.store().append("keyed.servers", "model-1", "");
            Await.until(
                    "the removal of its record", () -> views.view().endpoints().isEmpty());
        });
        assertEquals(503, sendRequest("/stream/x").status());
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenDeadlineHasPassed() throws IOException {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        pauseAfterDecision(CLIENT_MILLIS);
        HttpResponse refused = sendRequest("/stream/x");
        assertEquals(503, refused.status());
        assertTrue(refused.headers().contains("Retry-After"));
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenClientDisconnectedDuringPause() throws Exception {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        try (Socket disconnecting = connect()) {
            afterDecision.set(() -> {
                close(disconnecting);
                clockMillis.addAndGet(PAUSE_MILLIS);
            });
            awaitEndOfRequest(disconnecting);
        }
        assertEquals(0, received("model-1"));
    }

    @Test
    void shouldSendNothingWhenDisconnectIsReadOnlyAfterPause() throws Exception {
        serve(NEVER_MILLIS, NEVER_MILLIS);
        try (Socket disconnecting = connect()) {
            pauseAfterDecision(PAUSE_MILLIS);
            agentReply.set(then -> {
                close(disconnecting);
                onceNoRequestIsOpen(then);
            });
            awaitEndOfRequest(disconnecting);
        }
        assertEquals(0, received("model-1"));
    }

    /**
     * Connects a client that resets its connection as soon as it is closed, rather than when another thread gets to it.
     */
    private Socket connect() throws IOException {
        InetSocketAddress at = Addresses.parse(clientAddress());
        Socket disconnecting = new Socket(at.getAddress(), at.getPort());
        disconnecting.setSoLinger(true, 0);
        return disconnecting;
    }

    private void awaitEndOfRequest(Socket disconnecting) throws IOException {
        disconnecting.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        Await.until("the decision", () -> clockMillis.get() > 1_000_000);
        Await.until("the end of the request", () -> handler.connections().inFlightCount() == 0);
    }

    /** Runs an action on the traffic thread once the disconnect of the client has been read. */
    private void onceNoRequestIsOpen(Runnable step) {
        boolean finished = handler.connections().inFlightCount() == 0;
        Runnable next = finished ? step : () -> onceNoRequestIsOpen(step);
        worker.getIoThread().executeAfter(next, 1, TimeUnit.MILLISECONDS);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
