package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.attempts.ClientRequest;
import org.micabarrow.coordination.admission.RetryBudget;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** A stopping entry sends only what would probably be answered before its end, and reads what has arrived before it closes. */
class PlannedStopTest extends ServingFixture {

    private static final long SHORT_MILLIS = 300;
    private static final long LONGER_MILLIS = 400;

    private static final long LONG_MILLIS = 5_000;

    private static final int USUAL_REQUESTS = 8;
    private static final int SLOTS = 16;

    private final AtomicLong headMillis = new AtomicLong();

    @BeforeEach
    void start() {
        addPlainEndpoint();
        platform.addEndpoint("model-1", "models", 1);
        reportIdle("model-1", 1);
    }

    private void stopIn(long refuseInMillis, long endInMillis) {
        handler.startStopping(clockMillis.get() + refuseInMillis, clockMillis.get() + endInMillis);
    }

    private HttpResponse send(String path, long deadlineMillis) {
        HttpCall call = HostedSystem.request(clientAddress(), path, "attempt-1")
                .withHeader("Deadline-Ms", String.valueOf(deadlineMillis));
        return client.call(call, TIMEOUT).toOptional().orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]));
    }

    /** Serves with endpoints that take a set time for the head of each answer. */
    private void serveWithSetTimes() throws IOException {
        ForwardingProtocol timed = new ForwardingProtocol() {
            @Override
            public ResponseHead decodeHead(ClientRequest request, int status, HeaderFields received) {
                clockMillis.addAndGet(headMillis.get());
                return super.decodeHead(request, status, received);
            }
        };
        serve(
                timed,
                new RetryBudget(0, 1_000),
                (endpoint, then) -> then.accept(true),
                new ServingHandler.VersionTimes(NEVER_MILLIS, NEVER_MILLIS, NEVER_MILLIS));
    }

    /** Has a request answered after a time. */
    private void answerIn(long millis, String path) {
        reportIdle("model-1", 1);
        headMillis.set(millis);
        assertEquals(200, send(path, 9_000).status());
        headMillis.set(0);
        reportIdle("model-1", 1);
    }

    // -- which requests are sent

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/stream/x"})
    void shouldRefuseWithoutSendingWhenAnswerWouldComeAfterEnd(String path) throws Exception {
        serveWithSetTimes();
        answerIn(LONGER_MILLIS, path);
        stopIn(LONG_MILLIS, SHORT_MILLIS);
        HttpResponse refused = send(path, 9_000);
        assertEquals(503, refused.status());
        assertEquals("0.100", refused.headers().first("Retry-After").orElseThrow());
        assertEquals(1, received("plain-1") + received("model-1"));
    }

    /** The timeout of the route, 10 s, is far beyond the end. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/stream/x"})
    void shouldServeWhenRecentAnswersTookLessThanRest(String path) throws Exception {
        serveWithSetTimes();
        answerIn(SHORT_MILLIS, path);
        stopIn(LONG_MILLIS, SHORT_MILLIS);
        assertEquals(200, send(path, 9_000).status());
    }

    @Test
    void shouldServeWhenNothingIsKnownOfAnswers() throws Exception {
        serveWithSetTimes();
        stopIn(LONG_MILLIS, 1);
        assertEquals(200, send("/once/x", 9_000).status());
    }

    /** One of four answers took too long: a request that may run again is worth the attempt. */
    @ParameterizedTest
    @CsvSource({"/once/x, 503", "/again/x, 200"})
    void shouldBeMoreCarefulWithRequestsThatRunOnce(String path, int status) throws Exception {
        serveWithSetTimes();
        for (long millis : new long[] {0, LONGER_MILLIS, 0, 0}) {
            answerIn(millis, path);
        }
        stopIn(LONG_MILLIS, SHORT_MILLIS);
        assertEquals(status, send(path, 9_000).status());
    }

    @Test
    void shouldServeWhenClientsOwnTimeEndsBefore() throws Exception {
        serveWithSetTimes();
        answerIn(LONGER_MILLIS, "/once/x");
        stopIn(LONG_MILLIS, SHORT_MILLIS);
        assertEquals(200, send("/once/x", SHORT_MILLIS).status());
    }

    @Test
    void shouldNotRepeatLateInGraceWhenEndpointRefused() throws Exception {
        platform.addEndpoint("plain-2", "plain", 0);
        serveWithSetTimes();
        Await.until("both endpoints", () -> views.view().endpointsOf("plain").size() == 2);
        answerIn(SHORT_MILLIS, "/once/x");
        platform.enqueueBehaviour(Behaviour.REFUSE);
        stopIn(LONG_MILLIS, SHORT_MILLIS);
        headMillis.set(1);
        assertEquals(503, send("/once/x", 9_000).status());
        assertEquals(2, received("plain-1") + received("plain-2"));
    }

    @Test
    void shouldRefuseWaitingRequestsWhenStopLeavesThemNoTime() throws Exception {
        serveWithoutVersions();
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            assertEquals(200, send("/stream/x", 9_000).status());
        }
        Runnable full =
                () -> selector.load("model-1").reported(new LoadReport(SLOTS, 0, false, 1, 0), 0, clockMillis.get());
        checkRequests(full);
        CompletableFuture<HttpResponse> waiting = CompletableFuture.supplyAsync(() -> send("/stream/x", 9_000));
        Await.until("a waiting request", () -> waitingRequests() == 1);
        stopIn(LONG_MILLIS, -1);
        checkRequests(() -> {});
        HttpResponse refused = waiting.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertEquals(503, refused.status());
        assertTrue(new String(refused.body(), StandardCharsets.UTF_8).contains("this entry is stopping"));
        assertEquals(USUAL_REQUESTS, received("model-1"));
    }

    private int waitingRequests() {
        CompletableFuture<Integer> size = new CompletableFuture<>();
        worker.getIoThread().execute(() -> size.complete(handler.waitingRequests()));
        return size.join();
    }

    @Test
    void shouldRefuseAllByClockThoughNothingElseNoticed() throws Exception {
        serveWithoutVersions();
        stopIn(100, LONG_MILLIS);
        assertEquals(200, send("/once/x", 9_000).status());
        clockMillis.addAndGet(100);
        assertEquals(503, send("/once/x", 9_000).status());
        assertEquals(1, received("plain-1"));
    }

    // -- what is read before connections are closed

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        socket.connect(Addresses.parse(clientAddress()));
        return socket;
    }

    private static void write(Socket connection) throws IOException {
        String request = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\n"
                + "Deadline-Ms: 9000\r\nContent-Length: 6\r\n\r\na body";
        connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Keeps the traffic thread busy until the latch is released. */
    private CountDownLatch occupyTrafficThread() throws InterruptedException {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            busy.countDown();
            await(release);
        });
        assertTrue(busy.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        return release;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void shouldAnswerRequestOnRestingConnectionThatArrivedWhileThreadWasBusy() throws Exception {
        serveWithoutVersions();
        try (Socket resting = connect()) {
            write(resting);
            SocketText.readUntil(resting.getInputStream(), "whole");
            CountDownLatch release = occupyTrafficThread();
            write(resting);
            handler.connections().closeIdle();
            release.countDown();
            SocketText.readUntil(resting.getInputStream(), "HTTP/1.1 503");
        }
    }

    @Test
    void shouldNotCountAsIdleWhenRequestArrivedWhileThreadWasBusy() throws Exception {
        serveWithoutVersions();
        try (Socket resting = connect()) {
            write(resting);
            SocketText.readUntil(resting.getInputStream(), "whole");
            platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
            CountDownLatch release = occupyTrafficThread();
            write(resting);
            CompletableFuture<Boolean> idle = new CompletableFuture<>();
            handler.connections().ifIdle(worker.getIoThread(), () -> idle.complete(true), () -> idle.complete(false));
            release.countDown();
            assertFalse(idle.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        }
    }
}
