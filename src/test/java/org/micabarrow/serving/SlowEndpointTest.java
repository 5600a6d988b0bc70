package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Checks when a request goes elsewhere before its objective because its endpoint reports that it has become slow. */
class SlowEndpointTest extends ServingFixture {

    /** Well inside the objective. */
    private static final long EARLY_MILLIS = 100;

    private static final double SLOW_PACE = 50;
    private static final int OK = 200;

    private PausedEndpoint slow;

    @BeforeEach
    void start() throws IOException {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        slow = PausedEndpoint.start();
        platform.setAddress("model-1", slow.address());
        platform.register("model-1", "models", 1, "ready");
        reportIdle("model-1", 1);
    }

    private void serveWith(RetryBudget budget) throws IOException {
        serve(
                new EndpointHeaders(),
                budget,
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
    }

    @AfterEach
    void stop() throws Exception {
        slow.close();
    }

    private CompletableFuture<HttpResponse> sendToSlow(String path) {
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest(path));
        Await.until("the request", () -> slow.pendingRequests() == 1);
        platform.addEndpoint("model-2", "models", 1);
        Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
        return response;
    }

    /** Lets the entry check its requests after both agents have reported. */
    private void advance(double pace) throws Exception {
        clockMillis.addAndGet(EARLY_MILLIS);
        checkRequests(() -> {
            report("model-1", pace);
            report("model-2", 1);
        });
    }

    private void report(String endpoint, double pace) {
        EndpointCondition condition =
                new EndpointCondition(1, 0, OptionalDouble.of(pace), OptionalLong.empty(), OptionalLong.empty());
        selector.load(endpoint)
                .reported(new LoadReport(0, 0, false, 1).withCondition(Optional.of(condition)), 0, clockMillis.get());
    }

    @Test
    void shouldGoElsewhereBeforeObjectiveWhenEndpointBecomesSlow() throws Exception {
        serveWith(new RetryBudget(0.2, 10));
        CompletableFuture<HttpResponse> response = sendToSlow("/stream/x");
        advance(SLOW_PACE);
        assertEquals(OK, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
    }

    @Test
    void shouldStayWhenEndpointIsAtItsUsualSpeed() throws Exception {
        serveWith(new RetryBudget(0.2, 10));
        CompletableFuture<HttpResponse> response = sendToSlow("/stream/x");
        advance(1);
        assertFalse(response.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }

    @Test
    void shouldStayWhenRetryBudgetIsUsedUp() throws Exception {
        serveWith(new RetryBudget(0, 0));
        CompletableFuture<HttpResponse> response = sendToSlow("/stream/x");
        advance(SLOW_PACE);
        assertFalse(response.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }
}
