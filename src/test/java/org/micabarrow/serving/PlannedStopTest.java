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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.SocketText;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** A stopping entry takes requests by the clock, and reads what has arrived before it closes. */
class PlannedStopTest extends ServingFixture {

    @BeforeEach
    void start() {
        addPlainEndpoint();
    }

    private HttpResponse send(String path, long deadlineMillis) {
        HttpCall call = HostedSystem.request(clientAddress(), path, "attempt-1")
                .withHeader("Deadline-Ms", String.valueOf(deadlineMillis));
        return client.call(call, TIMEOUT).toOptional().orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]));
    }

    @Test
    void shouldRefuseAllByClockThoughNothingElseNoticed() throws Exception {
        serveWithoutVersions();
        handler.startStopping(clockMillis.get() + 100);
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
