package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Requests over plain sockets, answered by a server whose answers are scripted byte by byte. */
class BlockingHttpClientTest {

    private static final Duration LONG = Duration.ofSeconds(20);
    private static final long MAX_IDLE_MILLIS = 1_000;
    private static final Duration SHORT = Duration.ofMillis(50);

    private final AtomicLong nowMillis = new AtomicLong();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger nextAnswer = new AtomicInteger();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private ServerSocket server;
    private BlockingHttpClient client;

    /** Closes the connection; written in place of an answer. */
    private static final String CLOSE = "";

    /** Answers nothing and keeps the connection open. */
    private static final String SILENCE = "-";

    private volatile List<String> answers = List.of();

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        client = new BlockingHttpClient(MAX_IDLE_MILLIS, nowMillis::get);
        Thread.ofPlatform().daemon().start(this::serve);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private void serve() {
        try {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                connections.incrementAndGet();
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            }
        } catch (IOException e) {
            requests.add("the test has ended");
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            boolean open = true;
            while (open && readRequest(socket.getInputStream())) {
                String answer = answers.get(nextAnswer.getAndIncrement());
                open = !answer.equals(CLOSE) && !answer.contains("Connection: close");
                if (!answer.equals(SILENCE)) {
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException e) {
            requests.add("a connection has ended");
        }
    }

    /** Reads a request of up to its empty line and the body of one letter that a PUT has here. */
    private boolean readRequest(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            text.append((char) next);
            if (text.toString().endsWith("\r\n\r\n") && !text.toString().startsWith("PUT")
                    || text.toString().endsWith("\r\n\r\nx")) {
                requests.add(text.toString());
                return true;
            }
        }
        return false;
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private Result<HttpResponse> get(Duration timeout) {
        return client.call(HttpCall.get(Step.STATUS, URI.create("http://" + address() + "/a?b=1")), timeout);
    }

    private static String text(Result<HttpResponse> result) {
        return new String(result.toOptional().orElseThrow().body(), StandardCharsets.UTF_8);
    }

    private static Reason reason(Result<HttpResponse> result) {
        return result.cause().orElseThrow().reason();
    }

    private static String sized(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\nX-One: 1\r\n\r\n" + body;
    }

    @Test
    void shouldReuseConnectionWhenAnswerIsComplete() {
        answers = List.of(sized("one"), sized("two"));
        Result<HttpResponse> first = get(LONG);
        assertEquals("one", text(first));
        assertEquals("1", first.toOptional().orElseThrow().headers().get("x-one"));
        assertEquals("two", text(get(LONG)));
        assertEquals(1, connections.get());
        assertEquals(
                "GET /a?b=1 HTTP/1.1\r\nHost: " + address() + "\r\nContent-Length: 0\r\n\r\n", requests.getFirst());
    }

    @Test
    void shouldOpenConnectionWhenKeptOneWasIdleForLong() {
        answers = List.of(sized("one"), sized("two"));
        get(LONG);
        nowMillis.addAndGet(MAX_IDLE_MILLIS + 1);
        assertEquals("two", text(get(LONG)));
        assertEquals(2, connections.get());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 5\n\nabcde",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcde"
            })
    void shouldReadBodyInEveryFraming(String answer) {
        answers = List.of(answer);
        assertEquals("abcde", text(get(LONG)));
    }

    @Test
    void shouldReadNoBodyWhenStatusHasNone() {
        answers = List.of("HTTP/1.1 204 No Content\r\n\r\n", sized("two"));
        assertArrayEquals(new byte[0], get(LONG).toOptional().orElseThrow().body());
        assertEquals("two", text(get(LONG)));
    }

    @Test
    void shouldSendBody() {
        answers = List.of(sized("ok"));
        HttpCall call = new HttpCall(
                Step.STAGE, "PUT", URI.create("http://" + address() + "/a"), Map.of("A", "b"), new byte[] {'x'});
        assertEquals("ok", text(client.call(call, LONG)));
        assertEquals(
                "PUT /a HTTP/1.1\r\nHost: " + address() + "\r\nContent-Length: 1\r\nA: b\r\n\r\nx",
                requests.getFirst());
    }

    // -- failures

    @Test
    void shouldSendAgainWhenServerClosedKeptConnection() {
        answers = List.of(sized("one"), CLOSE, sized("two"));
        get(LONG);
        assertEquals("two", text(get(LONG)));
    }

    @Test
    void shouldFailWhenNewConnectionEndsWithoutAnswer() {
        answers = List.of(CLOSE);
        assertEquals(Reason.UNREACHABLE, reason(get(LONG)));
    }

    @Test
    void shouldNeverSendPostOnKeptConnection() {
        answers = List.of(sized("one"), sized("two"));
        get(LONG);
        HttpCall post = HttpCall.post(Step.ORDER, URI.create("http://" + address() + "/a"), new byte[0]);
        assertEquals("two", text(client.call(post, LONG)));
        assertEquals(2, connections.get());
    }

    @Test
    void shouldTimeOutWhenServerIsSilent() {
        answers = List.of(SILENCE);
        assertEquals(Reason.TIMEOUT, reason(get(SHORT)));
    }

    @Test
    void shouldTimeOutWhenBodyStops() {
        answers = List.of("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
        assertEquals(Reason.TIMEOUT, reason(get(SHORT)));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SSH-2.0\r\n\r\n",
                "HTTP/1.1 abc\r\n\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            })
    void shouldFailWhenAnswerIsNotHttp(String answer) {
        answers = List.of(answer);
        assertEquals(Reason.UNREACHABLE, reason(get(LONG)));
    }
}
