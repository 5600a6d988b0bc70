package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.transport.HttpClient.HttpAnswer;
import org.micabarrow.transport.IgnoringListener;

/**
 * An endpoint that turns a request away and asks for rest.
 *
 * <p>Users saw an endpoint that had asked an entry for three seconds of rest get 7, 8 and 20 requests of that entry meanwhile, each of
 * which it turned away again; a third of the callers were told to come back. Order of events: the endpoint answers 503 with
 * {@code Retry-After}, the entry tries the next one, and the next request finds the endpoint idle, as what is turned away does not stay
 * there. Cause: of the head of a refusal only that the request had not run was read. Evidence: the entry's lines of that day, in which the
 * same endpoint is chosen again and again between its refusals, with none of the entry's requests there.
 */
class RestTest extends ServingFixture {

    private static final long REST_MILLIS = 3_000;

    @BeforeEach
    void start() {
        onePlainEndpoint();
    }

    @Test
    void shouldSendNothingWhileEndpointRests() throws IOException {
        serveWithoutVersions();
        platform.next(Behaviour.REFUSE_AND_REST);
        assertEquals(503, ask("/again/x").status());
        for (long passed = 100; passed < REST_MILLIS; passed += 100) {
            clockMillis.addAndGet(100);
            HttpAnswer refused = ask("/again/x");
            assertEquals(503, refused.status());
            double left = (REST_MILLIS - passed) / 1_000.0;
            assertEquals(left, Double.parseDouble(refused.headers().get("Retry-After")), 0.001);
        }
        assertEquals(1, received("plain-1"), "the one that it turned away");
        clockMillis.addAndGet(100);
        assertEquals(200, ask("/again/x").status());
    }

    @Test
    void shouldTellWhenToComeBackWhenOnlyEndpointBeginsToRest() throws IOException {
        serveWithoutVersions();
        platform.next(Behaviour.REFUSE_AND_REST);
        HttpAnswer refused = ask("/once/x");
        assertEquals(503, refused.status());
        assertEquals("3.000", refused.headers().get("Retry-After"));
    }

    @Test
    void shouldServeWithTheOtherWhileOneRests() throws IOException {
        platform.add("plain-2", "plain", 0);
        serveWithoutVersions();
        Await.until("the endpoints", () -> views.view().endpoints().size() == 2);
        platform.next(Behaviour.REFUSE_AND_REST);
        String awake = ask("/once/x").headers().get("Instance-Id");
        for (int request = 0; request < 20; request++) {
            assertEquals(awake, ask("/once/x").headers().get("Instance-Id"));
        }
    }

    @Test
    void shouldServeAtOnceWhenRestEndedWhileInstanceWasSuspended() throws IOException {
        serveWithoutVersions();
        platform.next(Behaviour.REFUSE_AND_REST);
        assertEquals(503, ask("/again/x").status());
        clockMillis.addAndGet(60_000);
        assertEquals(200, ask("/again/x").status());
    }

    @Test
    void shouldLetOneRequestGoFirstWhenRestIsOver() throws IOException {
        serveWithoutVersions();
        platform.next(Behaviour.REFUSE_AND_REST);
        ask("/again/x");
        clockMillis.addAndGet(REST_MILLIS);
        platform.next(Behaviour.HANG);
        Runnable leave = client.send(HostedSystem.request(clients(), "/again/x", "attempt-2"), new IgnoringListener());
        Await.until("the first", () -> platform.endpoint("plain-1").hanging() == 1);
        assertEquals(503, ask("/again/x").status(), "no other before the endpoint has answered");
        leave.run();
        Await.until("its end", () -> platform.endpoint("plain-1").hanging() == 0);
        Await.until("an answer", () -> ask("/again/x").status() == 200);
    }
}
