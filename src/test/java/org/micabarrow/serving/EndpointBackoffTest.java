package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.transport.HttpClient.HttpResponse;
import org.micabarrow.transport.IgnoringListener;

/**
 * Guards against requests to an endpoint during the backoff that it requested.
 *
 * <p>An endpoint that had requested a backoff of three seconds from an entry got 7, 8 and 20 requests from it
 * meanwhile and refused all of them; a third of the clients were told to retry. The endpoint responds with 503 and
 * {@code Retry-After}, the entry tries the next endpoint, and the following request finds the first one idle, since
 * refused requests do not stay there. Cause: of the head of a refusal, the entry read only that the request had not
 * run. In the entry's log of that day, the same endpoint is chosen again and again between its refusals, with none of
 * the entry's requests in flight there.
 */
class EndpointBackoffTest extends ServingFixture {

    private static final long BACKOFF_MILLIS = 3_000;

    @BeforeEach
    void start() {
        addPlainEndpoint();
    }

    @Test
    void shouldSendNothingDuringBackoff() throws IOException {
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.REFUSE_WITH_RETRY_AFTER);
        assertEquals(503, sendRequest("/again/x").status());
        for (long elapsed = 100; elapsed < BACKOFF_MILLIS; elapsed += 100) {
            clockMillis.addAndGet(100);
            HttpResponse refused = sendRequest("/again/x");
            assertEquals(503, refused.status());
            double remaining = (BACKOFF_MILLIS - elapsed) / 1_000.0;
            assertEquals(
                    remaining,
                    Double.parseDouble(refused.headers().first("Retry-After").orElseThrow()),
                    0.001);
        }
        assertEquals(1, received("plain-1"), "the refused request only");
        clockMillis.addAndGet(100);
        assertEquals(200, sendRequest("/again/x").status());
    }

    @Test
    void shouldSendRetryDelayWhenOnlyEndpointBacksOff() throws IOException {
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.REFUSE_WITH_RETRY_AFTER);
        HttpResponse refused = sendRequest("/once/x");
        assertEquals(503, refused.status());
        assertEquals("3.000", refused.headers().first("Retry-After").orElseThrow());
    }

    @Test
    void shouldServeFromOtherEndpointDuringBackoff() throws IOException {
        platform.addEndpoint("plain-2", "plain", 0);
        serveWithoutVersions();
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        platform.enqueueBehaviour(Behaviour.REFUSE_WITH_RETRY_AFTER);
        String available = sendRequest("/once/x").headers().first("Instance-Id").orElseThrow();
        for (int request = 0; request < 20; request++) {
            assertEquals(
                    available,
                    sendRequest("/once/x").headers().first("Instance-Id").orElseThrow());
        }
    }

    @Test
    void shouldServeImmediatelyWhenBackoffEndedDuringSuspension() throws IOException {
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.REFUSE_WITH_RETRY_AFTER);
        assertEquals(503, sendRequest("/again/x").status());
        clockMillis.addAndGet(60_000);
        assertEquals(200, sendRequest("/again/x").status());
    }

    @Test
    void shouldSendSingleRequestFirstWhenBackoffEnds() throws IOException {
        serveWithoutVersions();
        platform.enqueueBehaviour(Behaviour.REFUSE_WITH_RETRY_AFTER);
        sendRequest("/again/x");
        clockMillis.addAndGet(BACKOFF_MILLIS);
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        Runnable cancel =
                client.send(HostedSystem.request(clientAddress(), "/again/x", "attempt-2"), new IgnoringListener());
        Await.until("the first request", () -> platform.endpoint("plain-1").unansweredCount() == 1);
        assertEquals(503, sendRequest("/again/x").status(), "no other request before the endpoint has responded");
        cancel.run();
        Await.until("its cancellation", () -> platform.endpoint("plain-1").unansweredCount() == 0);
        Await.until("a response", () -> sendRequest("/again/x").status() == 200);
    }
}
