package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.serving.ServingHandler.AgentQueries;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Checks which requests are sent to an endpoint that still holds an older weight version than the named one. */
class OlderVersionTest extends ServingFixture {

    /** The route's timeout in a test that waits for it. */
    private static final long TIMEOUT_MILLIS = 500;

    /** Few enough that the endpoint has free slots, and enough that another endpoint is chosen first. */
    private static final int FEW_REQUESTS = 2;

    private final AtomicBoolean agentRepliesInTime = new AtomicBoolean(true);
    private final AtomicBoolean queryCompletes = new AtomicBoolean(true);
    private final AtomicInteger queries = new AtomicInteger();

    @BeforeEach
    void start() {
        platform.addEndpoint("model-1", "models", 1);
        reportIdle("model-1", 1);
    }

    /**
     * Starts the handler; agents are queried after the first time, and requests that have not begun are cancelled after
     * the second.
     */
    private void serve(long queryAfterMillis, long cancelAfterMillis) throws IOException {
        AgentQueries agentQueries = (endpoint, then) -> {
            queries.incrementAndGet();
            if (queryCompletes.get()) {
                then.accept(agentRepliesInTime.get());
            }
        };
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                agentQueries,
                new VersionTimes(queryAfterMillis, NEVER_MILLIS, cancelAfterMillis));
    }

    private HttpResponse sendRequest() {
        return sendRequest("/stream/x");
    }

    @Test
    void shouldQueryNoAgentWhenNoNewerVersionIsNamed() throws IOException {
        serve(0, NEVER_MILLIS);
        assertEquals(200, sendRequest().status());
        assertEquals(0, queries.get());
    }

    @Test
    void shouldQueryNoAgentWhenNamingIsTooRecent() throws IOException {
        serve(1, NEVER_MILLIS);
        views.addPeerTarget(MODEL, 2);
        agentRepliesInTime.set(false);
        assertEquals(200, sendRequest().status());
        assertEquals(0, queries.get());
    }

    @Test
    void shouldSendWhenAgentReplies() throws IOException {
        serve(0, NEVER_MILLIS);
        views.addPeerTarget(MODEL, 2);
        assertEquals(200, sendRequest().status());
        assertEquals(1, queries.get());
    }

    @Test
    void shouldSendNothingWhenAgentDoesNotReply() throws IOException {
        serve(0, NEVER_MILLIS);
        views.addPeerTarget(MODEL, 2);
        agentRepliesInTime.set(false);
        HttpResponse refused = sendRequest();
        assertEquals(503, refused.status());
        assertTrue(refused.headers().contains("Retry-After"));
        assertEquals(0, platform.endpoint("model-1").received().size());
    }

    @Test
    void shouldSwitchEndpointWhenRequestHasNotBegunInTime() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        serve(0, 400);
        views.addPeerTarget(MODEL, 2);
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(this::sendRequest);
        Await.until("the request", () -> platform.endpoint("model-1").unansweredCount() == 1);
        platform.addEndpoint("model-2", "models", 2);
        assertEquals(200, response.join().status());
        Await.until(
                "the cancellation of the first attempt",
                () -> platform.endpoint("model-1").unansweredCount() == 0);
    }

    @Test
    void shouldReportNotRunWhenDeadlinePassesAndEveryAttemptWasRefused() throws Exception {
        platform.publishManifest(2, "key-a", TIMEOUT_MILLIS);
        platform.addEndpoint("model-2", "models", 2);
        serve(0, NEVER_MILLIS);
        Await.until("both", () -> views.view().endpoints().size() == 2);
        reportIdle("model-2", 2);
        views.addPeerTarget(MODEL, 2);
        // The endpoint with the newest version refuses, and the query about the other endpoint gets no reply.
        queryCompletes.set(false);
        for (int i = 0; i < FEW_REQUESTS; i++) {
            selector.load("model-1").requestSent(0);
        }
        platform.enqueueBehaviour(Behaviour.REFUSE);
        assertEquals(503, sendRequest().status());
        assertEquals(1, platform.endpoint("model-2").received().size());
        assertEquals(1, queries.get());
    }
}
