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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.micabarrow.SilentRelay;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;

/** What a server sees of a caller, byte by byte. */
class HttpClientTest {

    /** Ends a test that hangs, in milliseconds; under the ten seconds in which a server gives up a silent connection. */
    private static final int HANG_MILLIS = 8_000;

    private static final Duration HANG = Duration.ofMillis(HANG_MILLIS);

    /** How long a test waits on a connection that is silent for good. */
    private static final Duration SILENT = Duration.ofMillis(200);

    /** How many connections are kept when they fall silent. */
    private static final int KEPT = 3;

    /** Reads until a request with a body of six bytes is here. */
    private static void readRequest(InputStream input) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(WaitingCaller.BODY)) {
            int one = input.read();
            assertTrue(one >= 0, "the connection ended before the request");
            read.append((char) one);
        }
    }

    /** Whether the other end resets the connection; an end in good order leaves a request to be run. */
    private static boolean isReset(InputStream input) throws IOException {
        try {
            input.read();
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    void shouldResetConnectionWhenCancelledBeforeAnswer() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient caller = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            byte[] body = WaitingCaller.BODY.getBytes(StandardCharsets.US_ASCII);
            HttpCall call = new HttpCall(Fault.Step.RUN, "POST", uri, Optional.of("/x"), Map.of(), body);
            Runnable cancel = caller.send(call, new IgnoringListener());
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(HANG_MILLIS);
                readRequest(connection.getInputStream());
                cancel.run();
                assertTrue(isReset(connection.getInputStream()));
            }
        }
    }

    @Test
    void shouldResetConnectionWhenProcessIsKilledBeforeAnswer() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Process process = waitingCaller(server.getLocalPort());
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

    /** Sends nothing after all, since its request was overtaken while the connection came up. */
    private static final class Withholding extends IgnoringListener {

        private final CountDownLatch asked = new CountDownLatch(1);

        @Override
        public Optional<HttpCall> onSending(HttpCall call) {
            asked.countDown();
            return Optional.empty();
        }
    }

    @Test
    void shouldSendNothingWhenListenerWithholdsRequest() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpClient caller = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            Withholding listener = new Withholding();
            caller.send(HttpCall.get(Fault.Step.RUN, uri), listener);
            try (Socket connection = server.accept()) {
                listener.asked.await();
                caller.close();
                connection.setSoTimeout(HANG_MILLIS);
                assertEquals(-1, connection.getInputStream().read(), "the end, and no byte before it");
            }
        }
    }

    private static Process waitingCaller(int port) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        return new ProcessBuilder(java, "-cp", classes, WaitingCaller.class.getName(), String.valueOf(port))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    // -- connections that fall silent

    /** Answers once as many requests are here as are to come at the same time, so that each has a connection. */
    private static HttpListener answering(String address, CountDownLatch together) {
        return HttpListener.start(
                address,
                HttpListener.Bounds.usual(),
                1,
                Optional.empty(),
                exchange -> exchange.dispatch(() -> {
                    arrive(together);
                    exchange.getResponseSender().send("answered");
                }));
    }

    private static void arrive(CountDownLatch together) {
        together.countDown();
        try {
            together.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException("the test has ended", e);
        }
    }

    @Test
    void shouldUseNewConnectionWhenOneOfThoseKeptFellSilent() throws Exception {
        String address = Ports.freeAddress();
        HttpListener server = answering(address, new CountDownLatch(KEPT));
        try (SilentRelay relay = SilentRelay.to(address);
                HttpClient caller = HttpClient.start("test", 1)) {
            HttpCall call = HttpCall.get(Fault.Step.READ, URI.create("http://" + relay.address() + "/x"));
            List<HttpClient.Pending> together =
                    Stream.generate(() -> caller.begin(call)).limit(KEPT).toList();
            together.forEach(
                    one -> assertTrue(one.await(HANG).toOptional().isPresent(), "each is answered on its connection"));
            assertEquals(KEPT, relay.accepted());
            relay.silence();
            assertEquals(
                    Fault.Reason.TIMEOUT,
                    caller.call(call, SILENT).cause().orElseThrow().reason());
            assertTrue(caller.call(call, HANG).toOptional().isPresent(), "the others kept may be silent as well");
            assertEquals(KEPT + 1, relay.accepted());
        } finally {
            server.close();
        }
    }
}
