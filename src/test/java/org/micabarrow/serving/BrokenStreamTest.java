package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Result;
import org.micabarrow.transport.Addresses;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** A stream that ends within an event, or whose connection ends before its first event, was broken off. */
class BrokenStreamTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String EVENT = "id: 1\ndata: one\n\n";
    private static final String HALF_EVENT = "id: 2\ndata: t";

    private HostedSystem platform;
    private HttpClient caller;
    private ServerSocket endpoint;
    private HostedSettings settings;

    /** How the endpoint delimits the body. */
    private enum Framing {
        CONNECTION {
            @Override
            String frame(String body) {
                return "\r\n" + body;
            }
        },
        LENGTH {
            @Override
            String frame(String body) {
                return "Content-Length: " + body.length() + "\r\n\r\n" + body;
            }
        },
        CHUNKS {
            @Override
            String frame(String body) {
                String chunk = body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
                return "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n";
            }
        };

        abstract String frame(String body);
    }

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        caller = HttpClient.start("test", 1);
        endpoint = new ServerSocket(0);
        settings = platform.entrySettings();
        platform.setAddress("raw-1", "127.0.0.1:" + endpoint.getLocalPort());
        platform.register("raw-1", "models", 1, "ready");
    }

    @AfterEach
    void stop() throws Exception {
        endpoint.close();
        caller.close();
        platform.close();
    }

    /** Responds to each request with the same bytes, and closes the connection gracefully. */
    private void respond(String response) {
        Thread.ofPlatform().daemon().start(() -> {
            while (!endpoint.isClosed()) {
                try (Socket socket = endpoint.accept()) {
                    readRequest(socket);
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                    socket.shutdownOutput();
                    socket.getInputStream().readAllBytes();
                } catch (IOException e) {
                    // The entry has reset the connection, or the test has ended.
                    continue;
                }
            }
        });
    }

    private static void readRequest(Socket socket) throws IOException {
        StringBuilder request = new StringBuilder();
        while (!request.toString().endsWith("a body")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the request broke off");
            }
            request.append((char) next);
        }
    }

    private static String response(Framing framing, String body) {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\nWeight-Versions: 1\r\n"
                + "Content-Type: text/event-stream\r\n" + framing.frame(body);
    }

    private Result<HttpResponse> call(int endpoints) throws Exception {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoints", () -> entry.takesRequests() && entry.endpoints() == endpoints);
        HttpCall request = HostedSystem.request(settings.listen().clients().orElseThrow(), "/stream/x", "attempt-1");
        return caller.call(request, TIMEOUT);
    }

    private static void assertBrokenOff(Result<HttpResponse> response) {
        if (response instanceof Result.Success<HttpResponse>(HttpResponse complete)) {
            assertEquals(502, complete.status(), () -> new String(complete.body(), StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldBreakResponseOffWhenStreamEndsWithinEvent(Framing framing) throws Exception {
        respond(response(framing, EVENT + HALF_EVENT));
        assertInstanceOf(Result.Failure.class, call(1));
    }

    @ParameterizedTest
    @EnumSource
    void shouldBreakResponseOffWhenStreamEndsWithinFirstEvent(Framing framing) throws Exception {
        respond(response(framing, HALF_EVENT));
        assertBrokenOff(call(1));
    }

    @ParameterizedTest
    @EnumSource
    void shouldBreakResponseOffWhenBlankLineIsMissing(Framing framing) throws Exception {
        respond(response(framing, EVENT + "id: 2\ndata: two\n"));
        assertInstanceOf(Result.Failure.class, call(1));
    }

    @Test
    void shouldBreakResponseOffWhenConnectionEndsBeforeFirstEvent() throws Exception {
        respond(response(Framing.CONNECTION, ""));
        assertBrokenOff(call(1));
    }

    @ParameterizedTest
    @EnumSource
    void shouldCompleteResponseWhenStreamEndsAfterWholeEvents(Framing framing) throws Exception {
        String whole = EVENT + "id: 2\ndata: two\n\n: the end\n";
        respond(response(framing, whole));
        HttpResponse complete = call(1).toOptional().orElseThrow();
        assertEquals(whole, new String(complete.body(), StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @EnumSource
    void shouldResumeElsewhereWhenStreamEndsWithinEvent(Framing framing) throws Exception {
        respond(response(framing, EVENT + HALF_EVENT));
        HttpCall request = HostedSystem.request(settings.listen().clients().orElseThrow(), "/stream/x", "attempt-1");
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        Await.until("the first attempt fails", () -> caller.call(request, TIMEOUT) instanceof Result.Failure);
        platform.addEndpoint("model-2", "models", 1);
        Await.until("the other endpoint", () -> entry.endpoints() == 2);
        HttpResponse complete = caller.call(request, TIMEOUT).toOptional().orElseThrow();
        String body = new String(complete.body(), StandardCharsets.UTF_8);
        assertEquals(
                List.of("id: 1", "id: 2", "id: 3"),
                body.lines().filter(line -> line.startsWith("id:")).toList());
    }

    /** HTTP/1.0 has no chunks: a graceful close would end the body. */
    @Test
    void shouldResetConnectionOfOldClientWhenStreamBreaksOff() throws Exception {
        respond(response(Framing.CONNECTION, EVENT + HALF_EVENT));
        assertThrows(SocketException.class, this::callAsOldClient);
    }

    @Test
    void shouldCloseConnectionOfOldClientGracefullyWhenStreamIsWhole() throws Exception {
        respond(response(Framing.CHUNKS, EVENT));
        assertTrue(callAsOldClient().endsWith("\r\n\r\n" + EVENT));
    }

    /** Sends a request with HTTP/1.0 and reads until the connection ends. */
    private String callAsOldClient() throws Exception {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        try (Socket client = new Socket()) {
            client.connect(Addresses.parse(settings.listen().clients().orElseThrow()));
            String request = "POST /stream/x HTTP/1.0\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: attempt-1\r\n"
                    + "Model: model-a\r\nToken-Count: 100,20\r\nDeadline-Ms: 3000\r\nContent-Length: 6\r\n\r\na body";
            client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Test
    void shouldForwardOtherContentUnchanged() throws Exception {
        String json = "{\"text\":\"one\"}";
        respond(response(Framing.LENGTH, json).replace("text/event-stream", "application/json"));
        assertEquals(json, new String(call(1).toOptional().orElseThrow().body(), StandardCharsets.UTF_8));
    }
}
