package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
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
        SocketText.readUntil(socket.getInputStream(), "a body");
    }

    /** What the endpoint does after the last byte of its answer, before it closes the connection. */
    @FunctionalInterface
    private interface Afterwards {
        void run() throws IOException;
    }

    /** Answers one request. */
    private void respond(String response, Afterwards afterwards) {
        Thread.ofPlatform().daemon().start(() -> {
            try (Socket socket = endpoint.accept()) {
                readRequest(socket);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                afterwards.run();
            } catch (IOException e) {
                throw new IllegalStateException("the endpoint did not get its request", e);
            }
        });
    }

    /** Ends as a killed process does: nothing listens any more, then the connection is closed. */
    private void die() throws IOException {
        endpoint.close();
    }

    /** Answers all further requests, in the place of the endpoint or of one that was started at its address. */
    private void answerQueries(String response) {
        Thread.ofPlatform().daemon().start(() -> {
            while (!endpoint.isClosed()) {
                try (Socket socket = endpoint.accept()) {
                    SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    // Nothing was asked on this connection, or the test has ended.
                    continue;
                }
            }
        });
    }

    private HostedEntryProcess serve(String path) throws Exception {
        boolean stream = path.startsWith("/stream/");
        platform.register("raw-1", stream ? "models" : "plain", stream ? 1 : 0, "ready");
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return entry;
    }

    private Result<HttpResponse> call(String path) {
        HttpCall request = HostedSystem.request(settings.listen().clients().orElseThrow(), path, "attempt-1");
        return caller.call(request, TIMEOUT);
    }

    private static String bodyOf(String path) {
        return path.startsWith("/stream/") ? "id: 1\ndata: one\n\n" : "half of a b";
    }

    private static String responseTo(String path) {
        return (path.startsWith("/stream/") ? STREAM_HEAD : PLAIN_HEAD) + bodyOf(path);
    }

    private static void assertNotComplete(Result<HttpResponse> response) {
        if (response instanceof Result.Success<HttpResponse>(HttpResponse complete)) {
            assertEquals(502, complete.status(), () -> new String(complete.body(), StandardCharsets.UTF_8));
        }
    }

    // -- endpoints that have died

    @ParameterizedTest
    @CsvSource({"/stream/x", "/again/x", "/once/x"})
    void shouldNotCompleteAnswerWhenEndpointDiesBetweenItsParts(String path) throws Exception {
        serve(path);
        respond(responseTo(path), this::die);
        assertNotComplete(call(path));
    }

    @ParameterizedTest
    @CsvSource({"/stream/x", "/again/x", "/once/x"})
    void shouldNotCompleteAnswerWhenAnotherEndpointListensAtItsAddress(String path) throws Exception {
        serve(path);
        respond(
                responseTo(path),
                () -> answerQueries("HTTP/1.1 421 X\r\nInstance-Id: raw-2\r\nContent-Length: 0\r\n\r\n"));
        assertNotComplete(call(path));
    }

    @Test
    void shouldNotCompleteStreamWhenSameEndpointHasStartedAgain() throws Exception {
        platform.setStartedMillis("raw-1", 1_000);
        serve("/stream/x");
        respond(
                responseTo("/stream/x"),
                () -> answerQueries(
                        "HTTP/1.1 200 OK\r\nInstance-Id: raw-1\r\nContent-Length: 13\r\n\r\n{\"born\":2000}"));
        assertNotComplete(call("/stream/x"));
    }

    /** The start that follows has the same id and does not tell when it began; the other connection tells that one has ended. */
    @Test
    void shouldNotCompleteAnswerWhenOtherConnectionBreaksOffToo() throws Exception {
        serve("/once/x");
        Thread.ofPlatform().daemon().start(() -> {
            try (Socket first = endpoint.accept();
                    Socket second = endpoint.accept()) {
                readRequest(first);
                readRequest(second);
                String chunked = PLAIN_HEAD.replace("Connection: close", "Transfer-Encoding: chunked") + "4\r\nhalf";
                first.getOutputStream().write(chunked.getBytes(StandardCharsets.US_ASCII));
                second.getOutputStream().write(responseTo("/once/x").getBytes(StandardCharsets.US_ASCII));
                answerQueries("HTTP/1.1 421 X\r\nInstance-Id: raw-1\r\nContent-Length: 0\r\n\r\n");
            } catch (IOException e) {
                throw new IllegalStateException("the endpoint did not get its requests", e);
            }
        });
        CompletableFuture<Result<HttpResponse>> other = CompletableFuture.supplyAsync(() -> call("/once/x"));
        assertNotComplete(call("/once/x"));
        assertNotComplete(other.join());
    }

    @Test
    void shouldResumeStreamElsewhereWhenEndpointDiesBetweenEvents() throws Exception {
        HostedEntryProcess entry = serve("/stream/x");
        respond(responseTo("/stream/x"), () -> {
            platform.addEndpoint("model-2", "models", 1);
            Await.until("the other endpoint", () -> entry.endpoints() == 2);
            die();
        });
        String body = new String(call("/stream/x").toOptional().orElseThrow().body(), StandardCharsets.UTF_8);
        assertEquals(
                List.of("id: 1", "id: 2", "id: 3"),
                body.lines().filter(line -> line.startsWith("id:")).toList());
    }

    @Test
    void shouldRepeatRequestElsewhereWhenEndpointDiesWithinItsBody() throws Exception {
        HostedEntryProcess entry = serve("/again/x");
        respond(responseTo("/again/x"), () -> {
            platform.addEndpoint("plain-2", "plain", 0);
            Await.until("the other endpoint", () -> entry.endpoints() == 2);
            die();
        });
        HttpResponse complete = call("/again/x").toOptional().orElseThrow();
        assertEquals("whole", new String(complete.body(), StandardCharsets.UTF_8));
    }

    @Test
    void shouldPublishCrashWhenEndpointDiesBetweenEvents() throws Exception {
        serve("/stream/x");
        respond(responseTo("/stream/x"), this::die);
        assertNotComplete(call("/stream/x"));
        Await.until("the record of the crash", () -> platform.publishedCrashCount() == 1);
    }

    @Test
    void shouldPublishNoCrashWhenDrainingEndpointEndsBetweenEvents() throws Exception {
        HostedEntryProcess entry = serve("/stream/x");
        respond(responseTo("/stream/x").replace("Connection", "Server-Leaving: 1\r\nConnection"), this::die);
        assertNotComplete(call("/stream/x"));
        endpoint = new ServerSocket(0);
        platform.setAddress("raw-2", "127.0.0.1:" + endpoint.getLocalPort());
        platform.register("raw-2", "models", 1, "ready");
        Await.until("the other endpoint", () -> entry.endpoints() == 2);
        respond(responseTo("/stream/x"), this::die);
        assertNotComplete(call("/stream/x"));
        Await.until("the record of the later crash", () -> crashRecords("raw-2") == 1);
        assertEquals(0, crashRecords("raw-1"));
    }

    private int crashRecords(String id) {
        return platform.store().countKeys("keyed.micabarrow.crashes", "crash/" + id);
    }

    // -- endpoints that live

    @ParameterizedTest
    @CsvSource({"/stream/x", "/again/x", "/once/x"})
    void shouldCompleteAnswerWhenItsEndpointAnswersAfterwards(String path) throws Exception {
        serve(path);
        respond(
                responseTo(path),
                () -> answerQueries("HTTP/1.1 503 X\r\nInstance-Id: raw-1\r\nContent-Length: 0\r\n\r\n"));
        HttpResponse complete = call(path).toOptional().orElseThrow();
        assertEquals(200, complete.status());
        assertEquals(bodyOf(path), new String(complete.body(), StandardCharsets.UTF_8));
    }

    /** Also one that reads no query: its connections stay open, which those of a process that has died do not. */
    @ParameterizedTest
    @CsvSource({"/stream/x", "/again/x", "/once/x"})
    void shouldCompleteAnswerWhenItsEndpointListensAfterwards(String path) throws Exception {
        serve(path);
        respond(responseTo(path), () -> {});
        HttpResponse complete = call(path).toOptional().orElseThrow();
        assertEquals(200, complete.status());
        assertEquals(bodyOf(path), new String(complete.body(), StandardCharsets.UTF_8));
    }
}
