package org.micabarrow.transport;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.standin.Ports;
import org.xnio.XnioWorker;

/** Which chunked requests a listener takes for whole. */
class ChunkedMessagesTest {

    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int BAD_REQUEST = 400;

    private final String address = Ports.freeAddress();
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
            body.append(Integer.toHexString(data.length())).append("\r\n").append(data).append("\r\n");
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
}
