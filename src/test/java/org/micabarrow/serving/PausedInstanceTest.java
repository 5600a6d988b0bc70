package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.platform.EndpointHeaders;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.serving.ServingHandler.VersionTimes;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Guards against an entry that acts on outdated information after its instance was suspended for seconds.
 *
 * <p>This was taken from the users' documentation, not observed: while an instance is suspended, timers and the
 * monotonic clock stop, but the clock that counts from the start of the instance does not. Information that the process
 * considers recent is then older by the length of the suspension: the manifest, reports of agents, the deadline of a
 * weight version, the remaining time of a request. In this test the entry's clock, like the latter one, advances by
 * itself, and no timer has fired.
 */
class PausedInstanceTest extends ServingFixture {

    /** Far longer than the test waits, so that no timer ends a request before the test does. */
    private static final long LONG_TIMEOUT_MILLIS = 60_000;

    /** How long after the naming requests that an older version has not begun are cancelled. */
    private static final long CANCEL_MILLIS = 30_000;

    @BeforeEach
    void start() {
        platform.publishManifest(2, "key-a", LONG_TIMEOUT_MILLIS);
        platform.addEndpoint("model-1", "models", 1);
        reportIdle("model-1", 1);
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
    }

    private void serve() throws IOException {
        VersionTimes times = new VersionTimes(NEVER_MILLIS, NEVER_MILLIS, CANCEL_MILLIS);
        serve(new EndpointHeaders(), new RetryBudget(0, 0), (endpoint, then) -> then.accept(true), times);
    }

    private CompletableFuture<HttpResponse> sendHangingRequest() {
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> client.call(
                        HostedSystem.request(clientAddress(), "/stream/x", "attempt-1")
                                .withHeader("Deadline-Ms", String.valueOf(LONG_TIMEOUT_MILLIS)),
                        TIMEOUT)
                .toOptional()
                .orElseThrow());
        Await.until("the open request", () -> platform.endpoint("model-1").unansweredCount() == 1);
        return response;
    }

    /** Resumes the instance after the given time; the entry checks its requests as after each round of queries. */
    private void resumeAfter(long millis) {
        clockMillis.addAndGet(millis);
        reportIdle("model-1", 1);
        worker.getIoThread().execute(handler::checkRequests);
    }

    @Test
    void shouldRespondImmediatelyWhenDeadlinePassedDuringPause() throws Exception {
        serve();
        CompletableFuture<HttpResponse> response = sendHangingRequest();
        resumeAfter(LONG_TIMEOUT_MILLIS + 1);
        assertEquals(504, response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status());
        Await.until(
                "the cancellation at the endpoint",
                () -> platform.endpoint("model-1").unansweredCount() == 0);
    }

    @Test
    void shouldCancelImmediatelyWhenOlderVersionMayNoLongerBegin() throws Exception {
        serve();
        views.addPeerTarget(MODEL, 2);
        CompletableFuture<HttpResponse> response = sendHangingRequest();
        resumeAfter(CANCEL_MILLIS + 1);
        Await.until(
                "the cancellation at the endpoint",
                () -> platform.endpoint("model-1").unansweredCount() == 0);
        assertEquals(502, response.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).status());
    }
}
