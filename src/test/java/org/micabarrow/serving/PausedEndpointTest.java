package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
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
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.IgnoringListener;

/**
 * Guards against requests that a paused endpoint begins after it resumes.
 *
 * <p>Users saw requests begin on weights that had been replaced, and requests reach an endpoint that had been draining
 * for a long time. A request was sent to an endpoint whose instance paused before reading it; then a newer weight version was
 * named, or the endpoint drained. The client gave up, but the entry's connection stayed open because its HTTP client
 * waits for the response on close. Seconds later the instance resumed, read the request and began it. A request queued
 * at a paused instance thus outlives the reason for sending it, unless the sender ends the connection at once.
 *
 * <p>The endpoint cancelled those requests at their first event, so it had not known earlier that nobody was waiting.
 * With connections left open, instances paused beyond a version's deadline began 34 to 48 requests in each of three
 * runs; with connections closed at once, none in 3 runs, and with connections reset, none in 16. The endpoint of this
 * test is stricter: it begins every request whose connection was not reset.
 */
class PausedEndpointTest extends ServingFixture {

    /**
     * Longer than the time after which a nearby agent counts as unresponsive, and shorter than the objective, in
     * milliseconds.
     */
    private static final long UNRESPONSIVE_MILLIS = 450;

    /** Longer than the objective, in milliseconds. */
    private static final long LATE_MILLIS = 550;

    /**
     * How long after the naming requests that an older version has not begun are cancelled, in milliseconds; within the
     * client's deadline.
     */
    private static final long CANCEL_MILLIS = 400;

    private static final int BAD_GATEWAY = 502;

    private PausedEndpoint paused;

    @BeforeEach
    void start() throws IOException {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        paused = PausedEndpoint.start();
        platform.setAddress("model-1", paused.address());
        platform.register("model-1", "models", 1, "ready");
        reportIdle("model-1", 1);
    }

    @AfterEach
    void stop() throws Exception {
        paused.close();
    }

    /**
     * Starts the handler; requests that an older version has not begun are cancelled the given time after the naming.
     */
    private void serve(long cancelAfterMillis) throws IOException {
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, cancelAfterMillis));
    }

    // -- steps

    /** Sends a request, and waits until the paused instance has received it. */
    private CompletableFuture<HttpResponse> sendToPaused() {
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/stream/x"));
        Await.until("the request", () -> paused.pendingRequests() == 1);
        return response;
    }

    /** Advances the clock so that the agent has not reported for the given time, and lets the entry check its requests. */
    private void passWithoutReports(long millis) throws Exception {
        clockMillis.addAndGet(millis);
        checkRequests();
    }

    private void checkRequests() throws Exception {
        checkRequests(() -> {});
    }

    // -- tests

    @Test
    void shouldCancelWaitingRequestWhenClientDisconnects() throws Exception {
        serve(NEVER_MILLIS);
        try (HttpClient disconnecting = HttpClient.start("disconnecting", 1)) {
            Runnable cancel = disconnecting.send(
                    HostedSystem.request(clientAddress(), "/stream/x", "attempt-1"), new IgnoringListener());
            Await.until("the request", () -> paused.pendingRequests() == 1);
            cancel.run();
            Await.until("the end of the request", () -> handler.connections().inFlightCount() == 0);
        }
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldCancelWaitingRequestWhenVersionIsNamedAfterSending() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        views.addPeerTarget(MODEL, 2);
        passWithoutReports(UNRESPONSIVE_MILLIS);
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldCancelWaitingRequestWhenEndpointDrains() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        platform.register("model-1", "models", 1, "draining");
        Await.until(
                "its draining state",
                () -> views.view().endpoints().get("model-1").draining());
        passWithoutReports(UNRESPONSIVE_MILLIS);
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldCancelWaitingRequestWhenEndpointIsNoLongerListed() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        platform.store().append("keyed.servers", "model-1", "");
        Await.until("the removal of its record", () -> views.view().endpoints().isEmpty());
        selector.retainOnly(views.view().endpoints().values());
        passWithoutReports(UNRESPONSIVE_MILLIS);
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldCancelWaitingRequestWhenEndpointRestarts() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        platform.setStartedMillis("model-1", 1_764_718_674_123L);
        platform.register("model-1", "models", 1, "ready");
        Await.until(
                "its new start time",
                () -> views.view().endpoints().get("model-1").startedMillis().isPresent());
        passWithoutReports(UNRESPONSIVE_MILLIS);
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldCancelWaitingRequestWhenObjectiveHasPassed() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        passWithoutReports(LATE_MILLIS);
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldKeepWaitingRequestWhenAgentResponds() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        views.addPeerTarget(MODEL, 2);
        clockMillis.addAndGet(UNRESPONSIVE_MILLIS);
        selector.load("model-1").reported(new LoadReport(1, 0, false, 1), 0, clockMillis.get());
        checkRequests();
        assertEquals(1, paused.resume().size());
        response.cancel(true);
    }

    @Test
    void shouldCancelRequestNotBegunInTimeWhenVersionIsNamedAfterSending() throws Exception {
        serve(CANCEL_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        views.addPeerTarget(MODEL, 2);
        // The agent keeps reporting, so only the deadline can trigger the cancellation.
        checkRequests();
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }

    @Test
    void shouldKeepWaitingRequestWhenItMayStillBegin() throws Exception {
        serve(NEVER_MILLIS);
        CompletableFuture<HttpResponse> response = sendToPaused();
        passWithoutReports(UNRESPONSIVE_MILLIS);
        assertEquals(1, paused.resume().size());
        response.cancel(true);
    }

    @Test
    void shouldCancelWaitingRequestWhenSecondVersionIsNamedAfterFirstWasLoaded() throws Exception {
        serve(CANCEL_MILLIS);
        views.addPeerTarget(MODEL, 2);
        CompletableFuture<HttpResponse> response = sendToPaused();
        // The deadline of the first version passes while the endpoint already holds it; then another version is named.
        selector.load("model-1").reported(new LoadReport(1, 0, false, 2), 0, clockMillis.get());
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        worker.getIoThread().executeAfter(() -> elapsed.complete(null), 2 * CANCEL_MILLIS, TimeUnit.MILLISECONDS);
        elapsed.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        views.addPeerTarget(MODEL, 3);
        checkRequests();
        assertEquals(BAD_GATEWAY, response.join().status());
        assertEquals(List.of(), paused.resume());
    }
}
