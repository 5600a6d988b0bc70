package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.Await;
import org.micabarrow.SocketText;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.xnio.XnioWorker;

/** Which chunked messages are taken for whole. */
class ChunkedMessagesTest {

    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int BAD_REQUEST = 400;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final String address = Ports.freeAddress();
    private final AtomicInteger requests = new AtomicInteger();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private XnioWorker worker;
    private HttpListener listener;

    @BeforeEach
    void start() throws IOException {
        worker = HttpClient.worker("test", 1);
        listener = HttpListener.startOnWorker(address, HttpListener.Limits.defaults(), worker, this::answer);
    }

    @AfterEach
    void stop() throws InterruptedException {
        listener.close();
        worker.shutdownNow();
        worker.awaitTermination(10, TimeUnit.SECONDS);
    }

    /** Answers with the lengths of all bodies so far. */
    private void answer(HttpServerExchange exchange) {
        requests.incrementAndGet();
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> {
                            bodies.add(body.length + " bytes");
                            same.getResponseSender().send(String.join(", ", bodies));
                        }),
                        (same, error) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> {
                            same.setStatusCode(BAD_REQUEST);
                            same.endExchange();
                        }));
    }

    private static String chunks(int count, String data) {
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < count; i++) {
            body.append(Integer.toHexString(data.length()))
                    .append("\r\n")
                    .append(data)
                    .append("\r\n");
        }
        return body.append("0\r\n\r\n").toString();
    }

    /** What was sent ahead of the first answer is read with the request before it. */
    @ParameterizedTest
    @CsvSource({"1, 100000", "1, 600000", "60, 10000", "600, 1000"})
    void shouldTakeLongBodyWhenItsRequestWasSentAhead(int count, int length) throws Exception {
        try (TestClient client = new TestClient(address, Optional.empty())) {
            String both = HEAD + chunks(1, "x") + HEAD + chunks(count, "y".repeat(length));
            client.out().write(both.getBytes(StandardCharsets.US_ASCII));
            new AnswerReader(client.in()).readUntil("1 bytes, " + count * length + " bytes");
        }
    }

    // -- sizes, of which Undertow takes a missing one for that of the last chunk

    /** A chunk and another with the given size, which comes together with the head or afterwards; an empty line follows no size. */
    private static void write(OutputStream out, String head, String size, boolean together, BooleanSupplier headRead)
            throws IOException {
        String first = head + "5\r\nwhole\r\n";
        String second = size + (isSize(size) ? "\r\nother\r\n0\r\n\r\n" : "\r\n\r\n");
        out.write((together ? first + second : first).getBytes(StandardCharsets.US_ASCII));
        if (!together) {
            Await.until("the head is read", headRead);
            out.write(second.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static Stream<Arguments> sizes() {
        return Stream.of("", "zz", "-0", "0x5", "5zz", ";a", "5", "005", "5;a=b", "5 ")
                .flatMap(size -> Stream.of(true, false).map(together -> Arguments.of(size, together)));
    }

    private static boolean isSize(String size) {
        return size.matches("[0-9a-f]+[ \t]*(;.*)?");
    }

    @ParameterizedTest
    @MethodSource("sizes")
    void shouldTakeRequestOnlyWhenEachChunkStatesItsSize(String size, boolean together) throws Exception {
        try (TestClient client = new TestClient(address, Optional.empty())) {
            write(client.out(), HEAD, size, together, () -> requests.get() == 1);
            AnswerReader answer = new AnswerReader(client.in());
            boolean answered = answer.readsComplete();
            assertEquals(isSize(size) || together, answered, answer::text);
            assertTrue(!answered || answer.text().startsWith(isSize(size) ? "HTTP/1.1 200 " : "HTTP/1.1 400 "));
        }
        assertEquals(isSize(size) ? List.of("10 bytes") : List.of(), bodies);
    }

    @ParameterizedTest
    @MethodSource("sizes")
    void shouldTakeResponseOnlyWhenEachChunkStatesItsSize(String size, boolean together) throws Exception {
        HttpClient caller = HttpClient.start("caller", 1);
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            URI uri = URI.create("http://127.0.0.1:" + server.getLocalPort());
            HttpClient.PendingCall pending = caller.callAsync(HttpCall.get(Fault.Step.INSTANCES, uri));
            try (Socket socket = server.accept()) {
                SocketText.readUntil(socket.getInputStream(), "\r\n\r\n");
                String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                write(socket.getOutputStream(), head, size, together, pending.collector()::hasBegun);
                Optional<String> body = pending.await(TIMEOUT)
                        .toOptional()
                        .map(response -> new String(response.body(), StandardCharsets.US_ASCII));
                assertEquals(isSize(size) ? Optional.of("wholeother") : Optional.empty(), body);
            }
        } finally {
            caller.close();
        }
    }
}
