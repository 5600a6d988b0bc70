package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Checks when a request is retried elsewhere if its endpoint never responds although its agent reports no problem. */
class OverdueResponseTest extends ServingFixture {

    /**
     * Longer than a response may take to start before another endpoint is tried, and shorter than the client's
     * deadline.
     */
    private static final long OVERDUE_MILLIS = 1_100;

    /** Longer than the objective, but not yet overdue. */
    private static final long LATE_MILLIS = 900;

    private static final int OK = 200;

    /** The head of a streamed response and its first event, as sent by the stand-ins. */
    private static final String FIRST_EVENT = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: model-1\r\n"
            + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "f\r\nid: 1\ndata: x\n\n\r\n";

    private PausedEndpoint unresponsive;

    @BeforeEach
    void start() throws IOException {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        unresponsive = PausedEndpoint.start();
        platform.setAddress("model-1", unresponsive.address());
        platform.register("model-1", "models", 1, "ready");
        reportIdle("model-1", 1);
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
    }

    @AfterEach
    void stop() throws Exception {
        unresponsive.close();
    }

    /** Sends a request, waits until the unresponsive endpoint has received it, and then lists another endpoint. */
    private CompletableFuture<HttpResponse> sendToUnresponsive(String path) {
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest(path));
        Await.until("the request", () -> unresponsive.pendingRequests() == 1);
        platform.addEndpoint("model-2", "models", 1);
        Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
        return response;
    }

    /** Advances the clock while both agents keep reporting, and lets the entry check its requests. */
    private void advance(long millis, int requestsAtOther) throws Exception {
        clockMillis.addAndGet(millis);
        checkRequests(() -> {
            reportIdle("model-1", 1);
            selector.load("model-2").reported(new LoadReport(requestsAtOther, 0, false, 1), 0, clockMillis.get());
        });
    }

    @Test
    void shouldSwitchEndpointWhenFirstPartIsOverdue() throws Exception {
        CompletableFuture<HttpResponse> response = sendToUnresponsive("/stream/x");
        advance(OVERDUE_MILLIS, 0);
        assertEquals(OK, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
    }

    @Test
    void shouldWaitWhenResponseIsOnlyLate() throws Exception {
        CompletableFuture<HttpResponse> response = sendToUnresponsive("/stream/x");
        advance(LATE_MILLIS, 0);
        assertFalse(response.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }

    @Test
    void shouldWaitWhenOtherEndpointsHaveNoFreeSlot() throws Exception {
        CompletableFuture<HttpResponse> response = sendToUnresponsive("/stream/x");
        advance(OVERDUE_MILLIS, 14);
        assertFalse(response.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }

    @Test
    void shouldResumeElsewhereWhenStreamStalls() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            platform.setAddress("model-1", "127.0.0.1:" + server.getLocalPort());
            platform.register("model-1", "models", 1, "ready");
            Await.until(
                    "its new address",
                    () -> views.view().endpoints().get("model-1").address().endsWith(":" + server.getLocalPort()));
            HttpCall call = HostedSystem.request(clientAddress(), "/stream/x", "attempt-1")
                    .withHeader("Model", MODEL)
                    .withHeader("Token-Count", "100,20");
            CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(
                    () -> client.call(call, TIMEOUT).toOptional().orElseThrow());
            try (Socket stalled = server.accept()) {
                stalled.getOutputStream().write(FIRST_EVENT.getBytes(StandardCharsets.US_ASCII));
                Await.until("the first event", () -> selector.load("model-1").ownPendingPromptTokens() == 0);
                platform.addEndpoint("model-2", "models", 1);
                Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
                advance(LATE_MILLIS, 0);
                assertFalse(response.isDone());
                advance(OVERDUE_MILLIS, 0);
                String body = new String(
                        response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).body(), StandardCharsets.UTF_8);
                assertEquals(
                        List.of("id: 1", "id: 2", "id: 3"),
                        body.lines().filter(line -> line.startsWith("id:")).toList());
            }
        }
    }
}
