package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** An answer without a length or chunks ends with its connection, and so does one whose endpoint has died. */
class UnstatedEndTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nAttempt-Id: attempt-1\r\nServer-Seal: s\r\nWeight-Versions: 1\r\nConnection: close\r\n";
    private static final String STREAM_HEAD = HEAD + "Content-Type: text/event-stream\r\n\r\n";
    private static final String PLAIN_HEAD = HEAD + "Content-Type: text/plain\r\n\r\n";

    private HostedSystem platform;
    private HttpClient caller;
    private ServerSocket endpoint;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        caller = HttpClient.start("test", 1);
        endpoint = new ServerSocket(0);
        settings = platform.entrySettings();
        platform.setAddress("raw-1", "127.0.0.1:" + endpoint.getLocalPort());
    }

    @AfterEach
    void stop() throws Exception {
        endpoint.close();
        caller.close();
        platform.close();
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

    /** Answers one request, and ends as a killed process does: nothing listens any more, connections are closed. */
    private void respondAndDie(String response) {
        Thread.ofPlatform().daemon().start(() -> {
            try (Socket socket = endpoint.accept()) {
                readRequest(socket);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                endpoint.close();
            } catch (IOException e) {
                throw new IllegalStateException("the endpoint did not get its request", e);
            }
        });
    }

    private Result<HttpResponse> call(String path) throws Exception {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        HttpCall request = HostedSystem.request(settings.listen().clients().orElseThrow(), path, "attempt-1");
        return caller.call(request, TIMEOUT);
    }

    private static String responseTo(String path) {
        return path.startsWith("/stream/") ? STREAM_HEAD + "id: 1\ndata: one\n\n" : PLAIN_HEAD + "half of a b";
    }

    private static String serviceOf(String path) {
        return path.startsWith("/stream/") ? "models" : "plain";
    }

    @ParameterizedTest
    @CsvSource({"/stream/x", "/again/x", "/once/x"})
    void shouldNotCompleteAnswerWhenEndpointDiesBetweenItsParts(String path) throws Exception {
        platform.register("raw-1", serviceOf(path), path.startsWith("/stream/") ? 1 : 0, "ready");
        respondAndDie(responseTo(path));
        if (call(path) instanceof Result.Success<HttpResponse>(HttpResponse complete)) {
            assertEquals(502, complete.status(), () -> new String(complete.body(), StandardCharsets.UTF_8));
        }
    }
}
