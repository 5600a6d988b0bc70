package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.micabarrow.SilentRelay;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;

/** What a server receives from the client, byte by byte. */
class HttpClientTest {

    /**
     * Ends a test that hangs, in milliseconds; less than the ten seconds after which a server closes a connection that
     * sends nothing.
     */
    private static final int HANG_MILLIS = 8_000;

    private static final Duration HANG_TIMEOUT = Duration.ofMillis(HANG_MILLIS);

    /** The timeout on a connection that is permanently unresponsive. */
    private static final Duration UNRESPONSIVE_TIMEOUT = Duration.ofMillis(200);

    /** How many idle connections there are when they become unresponsive. */
    private static final int IDLE_CONNECTIONS = 3;

    /** Reads until a request with its body of six bytes has arrived. */
    private static void readRequest(InputStream input) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(WaitingClientProcess.BODY)) {
            int one = input.read();
            assertTrue(one >= 0, "the connection ended before the request");
            read.append((char) one);
        }
    }

    /** Whether the remote end resets the connection; after a graceful close the request would still be executed. */
    private static boolean isReset(InputStream input) throws IOException {
        try {
            input.read();
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    /** A body that ends with its connection leaves nothing to reuse, also where the server goes on reading. */
    @Test
    void shouldOpenNewConnectionWhenResponseEndedWithItsConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            HttpCall call =
                    HttpCall.post(Fault.Step.RUN, uri, WaitingClientProcess.BODY.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < 2; i++) {
                HttpClient.PendingCall pending = client.callAsync(call);
                try (Socket connection = server.accept()) {
                    readRequest(connection.getInputStream());
                    connection
                            .getOutputStream()
                            .write("HTTP/1.1 200 OK\r\n\r\nwhole".getBytes(StandardCharsets.US_ASCII));
                    connection.shutdownOutput();
                    HttpClient.HttpResponse response =
                            pending.await(HANG_TIMEOUT).toOptional().orElseThrow();
                    assertEquals("whole", new String(response.body(), StandardCharsets.US_ASCII));
                }
            }
        }
    }

    @Test
    void shouldResetConnectionWhenCancelledBeforeResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            byte[] body = WaitingClientProcess.BODY.getBytes(StandardCharsets.US_ASCII);
            HttpCall call = new HttpCall(Fault.Step.RUN, "POST", uri, Optional.of("/x"), HeaderFields.empty(), body);
            Runnable cancel = client.send(call, new IgnoringListener());
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(HANG_MILLIS);
                readRequest(connection.getInputStream());
                cancel.run();
                assertTrue(isReset(connection.getInputStream()));
            }
        }
    }

    @Test
    void shouldResetConnectionWhenProcessIsKilledBeforeResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Process process = startWaitingProcess(server.getLocalPort());
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(HANG_MILLIS);
                readRequest(connection.getInputStream());
                process.destroyForcibly();
                assertTrue(isReset(connection.getInputStream()));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Withholds its request, as if it had become obsolete while the connection was being opened. */
    private static final class WithholdingListener extends IgnoringListener {

        private final CountDownLatch called = new CountDownLatch(1);

        @Override
        public Optional<HttpCall> beforeSend(HttpCall call) {
            called.countDown();
            return Optional.empty();
        }
    }

    @Test
    void shouldSendNothingWhenListenerWithholdsRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient client = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            WithholdingListener listener = new WithholdingListener();
            client.send(HttpCall.get(Fault.Step.RUN, uri), listener);
            try (Socket connection = server.accept()) {
                listener.called.await();
                client.close();
                connection.setSoTimeout(HANG_MILLIS);
                assertEquals(-1, connection.getInputStream().read(), "the connection ends without any byte");
            }
        }
    }

    private static Process startWaitingProcess(int port) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        return new ProcessBuilder(java, "-cp", classes, WaitingClientProcess.class.getName(), String.valueOf(port))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    // -- unresponsive connections

    /** Starts a server that responds once all concurrent requests have arrived, so that each has its own connection. */
    private static HttpListener startServer(String address, CountDownLatch allArrived) {
        return HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                1,
                Optional.empty(),
                exchange -> exchange.dispatch(() -> {
                    awaitAll(allArrived);
                    exchange.getResponseSender().send("answered");
                }));
    }

    private static void awaitAll(CountDownLatch allArrived) {
        allArrived.countDown();
        try {
            allArrived.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException("the test has ended", e);
        }
    }

    @Test
    void shouldUseNewConnectionWhenIdleOneWasUnresponsive() throws Exception {
        String address = Ports.freeAddress();
        HttpListener server = startServer(address, new CountDownLatch(IDLE_CONNECTIONS));
        try (SilentRelay relay = SilentRelay.to(address);
                HttpClient client = HttpClient.start("test", 1)) {
            HttpCall call = HttpCall.get(Fault.Step.READ, URI.create("http://" + relay.address() + "/x"));
            List<HttpClient.PendingCall> calls = Stream.generate(() -> client.callAsync(call))
                    .limit(IDLE_CONNECTIONS)
                    .toList();
            calls.forEach(one -> assertTrue(
                    one.await(HANG_TIMEOUT).toOptional().isPresent(), "each gets a response on its own connection"));
            assertEquals(IDLE_CONNECTIONS, relay.accepted());
            relay.silence();
            assertEquals(
                    Fault.Reason.TIMEOUT,
                    client.call(call, UNRESPONSIVE_TIMEOUT)
                            .cause()
                            .orElseThrow()
                            .reason());
            assertTrue(
                    client.call(call, HANG_TIMEOUT).toOptional().isPresent(),
                    "the other idle connections may be unresponsive too");
            assertEquals(IDLE_CONNECTIONS + 1, relay.accepted());
        } finally {
            server.close();
        }
    }
}
