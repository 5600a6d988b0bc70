package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.standin.Ports;

/** A response without a known length looks complete only after it was completed. */
class ResponseFramingTest {

    private static final String KEPT = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String CLOSE = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    private static final String OLD = "GET / HTTP/1.0\r\n\r\n";
    private static final String OLD_KEPT = "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";

    /** What a client has read, and whether it looks complete. */
    private record Answer(String text, boolean complete) {}

    private static Answer answer(String request, HttpHandler handler) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), handler);
                TestClient client = new TestClient(address, Optional.empty())) {
            client.out().write(request.getBytes(StandardCharsets.US_ASCII));
            AnswerReader reader = new AnswerReader(client.in());
            boolean complete = reader.readsComplete();
            return new Answer(reader.text(), complete);
        }
    }

    private static void respond(HttpServerExchange exchange, Runnable afterPart) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            ResponseFraming.begin(exchange);
            exchange.getResponseSender().send(ByteBuffer.wrap(new byte[] {'a'}), new IoCallback() {
                @Override
                public void onComplete(HttpServerExchange same, Sender sender) {
                    // More would follow.
                }

                @Override
                public void onException(HttpServerExchange same, Sender sender, IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            afterPart.run();
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {KEPT, CLOSE, OLD, OLD_KEPT})
    void shouldNotLookCompleteWhenTaskThrows(String request) throws Exception {
        Answer answer = answer(
                request,
                exchange -> respond(exchange, () -> {
                    throw new IllegalStateException("the handler fails");
                }));
        assertFalse(answer.complete(), answer::text);
    }

    @ParameterizedTest
    @ValueSource(strings = {KEPT, CLOSE, OLD, OLD_KEPT})
    void shouldNotLookCompleteWhenExchangeIsEndedTooEarly(String request) throws Exception {
        Answer answer = answer(request, exchange -> respond(exchange, exchange::endExchange));
        assertFalse(answer.complete(), answer::text);
    }

    @ParameterizedTest
    @ValueSource(strings = {KEPT, CLOSE, OLD, OLD_KEPT})
    void shouldLookCompleteWhenCompleted(String request) throws Exception {
        Answer answer = answer(
                request,
                exchange -> respond(exchange, () -> {
                    ResponseFraming.complete(exchange);
                    exchange.endExchange();
                }));
        assertTrue(answer.complete(), answer::text);
    }

    @ParameterizedTest
    @ValueSource(strings = {KEPT, CLOSE, OLD, OLD_KEPT})
    void shouldStateOneEndWhenBodyIsEmpty(String request) throws Exception {
        Answer answer = answer(
                request,
                exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    ResponseFraming.begin(exchange);
                    ResponseFraming.complete(exchange);
                    exchange.endExchange();
                }));
        assertTrue(answer.complete(), answer::text);
        assertEquals(
                1,
                answer.text()
                        .lines()
                        .filter(line -> line.startsWith("Content-Length:") || line.startsWith("Transfer-Encoding:"))
                        .count(),
                answer::text);
    }
}
