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
import org.micabarrow.transport.HttpClient.HttpAnswer;

/** An endpoint that takes a request and never answers it, while its agent tells that all is well. */
class OverdueAnswerTest extends ServingFixture {

    /** Longer than an answer may take to begin before another endpoint is asked, and shorter than the client waits. */
    private static final long OVERDUE_MILLIS = 1_100;

    /** Longer than the objective only. */
    private static final long LATE_MILLIS = 900;

    private static final int OK = 200;

    /** The head of a streamed answer and its first event, as the stand-ins send them. */
    private static final String FIRST_EVENT = "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: model-1\r\n"
            + "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "f\r\nid: 1\ndata: x\n\n\r\n";

    private StandingEndpoint mute;

    @BeforeEach
    void start() throws IOException {
        platform.manifest(2, "key-a", WITHIN.toMillis());
        mute = StandingEndpoint.start();
        platform.place("model-1", mute.address());
        platform.enter("model-1", "models", 1, "ready");
        idleWith("model-1", 1);
        serve(
                new EndpointHeaders(),
                new RetryBudget(0.2, 10),
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
    }

    @AfterEach
    void stop() throws Exception {
        mute.close();
    }

    /** Sends a request, waits until it lies at the endpoint that will not answer, and lists another one then. */
    private CompletableFuture<HttpAnswer> sent(String path) {
        CompletableFuture<HttpAnswer> answer = CompletableFuture.supplyAsync(() -> ask(path));
        Await.until("the request", () -> mute.waiting() == 1);
        platform.add("model-2", "models", 1);
        Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
        return answer;
    }

    /** Lets time pass in which both agents go on telling, and has the entry look after its requests. */
    private void pass(long millis, int requestsAtOther) throws Exception {
        clockMillis.addAndGet(millis);
        lookAfterRequests(() -> {
            idleWith("model-1", 1);
            choice.load("model-2").told(new LoadReport(requestsAtOther, 0, false, 1), 0, clockMillis.get());
        });
    }

    @Test
    void shouldAskAnotherEndpointWhenFirstPartIsOverdue() throws Exception {
        CompletableFuture<HttpAnswer> answer = sent("/stream/x");
        pass(OVERDUE_MILLIS, 0);
        assertEquals(OK, answer.get(WITHIN.toMillis(), TimeUnit.MILLISECONDS).status());
    }

    @Test
    void shouldWaitWhenAnswerIsOnlyLate() throws Exception {
        CompletableFuture<HttpAnswer> answer = sent("/stream/x");
        pass(LATE_MILLIS, 0);
        assertFalse(answer.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }

    @Test
    void shouldWaitWhenOthersHaveNoRoomToSpare() throws Exception {
        CompletableFuture<HttpAnswer> answer = sent("/stream/x");
        pass(OVERDUE_MILLIS, 14);
        assertFalse(answer.isDone());
        assertEquals(0, platform.endpoint("model-2").received().size());
    }

    @Test
    void shouldGoOnElsewhereWhenStreamSaysNothingMore() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            platform.place("model-1", "127.0.0.1:" + server.getLocalPort());
            platform.enter("model-1", "models", 1, "ready");
            Await.until(
                    "its new address",
                    () -> views.view().endpoints().get("model-1").address().endsWith(":" + server.getLocalPort()));
            HttpCall call = HostedSystem.request(clients(), "/stream/x", "attempt-1")
                    .withHeader("Model", MODEL)
                    .withHeader("Token-Count", "100,20");
            CompletableFuture<HttpAnswer> answer = CompletableFuture.supplyAsync(
                    () -> client.call(call, WITHIN).toOptional().orElseThrow());
            try (Socket stalled = server.accept()) {
                stalled.getOutputStream().write(FIRST_EVENT.getBytes(StandardCharsets.US_ASCII));
                Await.until("the first event", () -> choice.load("model-1").ownPromptTokens() == 0);
                platform.add("model-2", "models", 1);
                Await.until("the other endpoint", () -> views.view().endpoints().containsKey("model-2"));
                pass(LATE_MILLIS, 0);
                assertFalse(answer.isDone());
                pass(OVERDUE_MILLIS, 0);
                String body = new String(
                        answer.get(WITHIN.toMillis(), TimeUnit.MILLISECONDS).body(), StandardCharsets.UTF_8);
                assertEquals(
                        List.of("id: 1", "id: 2", "id: 3"),
                        body.lines().filter(line -> line.startsWith("id:")).toList());
            }
        }
    }
}
