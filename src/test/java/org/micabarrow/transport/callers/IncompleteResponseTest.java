package org.micabarrow.transport.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.coordination.calls.Outcome;
import org.micabarrow.coordination.calls.ResponseHead;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Fault.Reason;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.transport.TestCertificates;
import org.micabarrow.transport.TestClient;

/** A response that breaks off must not look complete, and one that does not must, however the caller asks. */
class IncompleteResponseTest {

    private static final Fault FAULT = Fault.of(Step.READ, "agent", Reason.UNREACHABLE, "it broke off");
    private static final String PART = "data: one\n\n";

    @TempDir
    private static Path directory;

    private static TestCertificates certificates;

    /** How the caller asks. */
    private enum Asking {
        KEPT("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"),
        CLOSE("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
        WITHOUT_CHUNKS("POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n"),
        WITHOUT_CHUNKS_KEPT("POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n");

        private final String request;

        Asking(String request) {
            this.request = request;
        }
    }

    /** How the response ends. */
    private enum Ending {
        WHOLE(true, "text/event-stream", Outcome.answered()),
        WHOLE_TEXT(true, "text/plain", Outcome.answered()),
        BROKEN_STREAM(false, "text/event-stream", Outcome.unknown(FAULT)),
        BROKEN_TEXT(false, "text/plain", Outcome.unknown(FAULT)),
        REFUSED(true, "", Outcome.notRun(FAULT, Duration.ofMillis(1))),
        UNKNOWN(true, "", Outcome.unknown(FAULT));

        private final boolean complete;
        private final String contentType;
        private final Outcome outcome;

        Ending(boolean complete, String contentType, Outcome outcome) {
            this.complete = complete;
            this.contentType = contentType;
            this.outcome = outcome;
        }
    }

    @BeforeAll
    static void createCertificate() throws Exception {
        certificates = new TestCertificates(directory);
        certificates.create("entry");
    }

    private static Stream<Arguments> responses() {
        return Stream.of(false, true)
                .flatMap(tls -> Arrays.stream(Asking.values())
                        .flatMap(asking ->
                                Arrays.stream(Ending.values()).map(ending -> Arguments.of(tls, asking, ending))));
    }

    private static ResponseHead head(int status, String contentType) {
        return new ResponseHead("attempt-1", status, contentType, "1", "agent-1", "region-a", "hall-a", 1);
    }

    private static void respond(HttpServerExchange exchange, Ending ending) {
        CallerResponse response = new CallerResponse(exchange, "request-1");
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (ending.contentType.isEmpty()) {
                response.onEnd(ending.outcome);
                return;
            }
            response.onHead(head(200, ending.contentType));
            response.onData(PART.getBytes(StandardCharsets.US_ASCII), () -> response.onEnd(ending.outcome));
        });
    }

    private static HttpListener serve(String address, boolean tls, HttpHandler handler) throws IOException {
        return HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                1,
                tls ? Optional.of(certificates.serverContext("entry")) : Optional.empty(),
                handler);
    }

    private static TestClient connect(String address, boolean tls) throws Exception {
        return new TestClient(address, tls ? Optional.of(certificates.pem("entry", "crt")) : Optional.empty());
    }

    @ParameterizedTest
    @MethodSource("responses")
    void shouldLookCompleteOnlyWhenResponseIsWhole(boolean tls, Asking asking, Ending ending) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener = serve(address, tls, exchange -> respond(exchange, ending));
                TestClient client = connect(address, tls)) {
            client.out().write(asking.request.getBytes(StandardCharsets.US_ASCII));
            AnswerReader answer = new AnswerReader(client.in());
            assertEquals(ending.complete, answer.readsComplete(), answer::text);
            assertTrue(ending.contentType.isEmpty() || answer.text().contains(PART), answer::text);
        }
    }

    /** Responses to HEAD, and those of these statuses, have no body, so a next response follows at once. */
    @ParameterizedTest
    @CsvSource({"HEAD, 200", "GET, 204", "GET, 304"})
    void shouldSendNoBodyWhenResponseMayHaveNone(String method, int status) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener = serve(address, false, exchange -> respondWithoutBody(exchange, status));
                TestClient client = connect(address, false)) {
            String request = method + " / HTTP/1.1\r\nHost: h\r\n";
            client.out()
                    .write((request + "\r\n" + request + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String both = new String(client.in().readAllBytes(), StandardCharsets.US_ASCII);
            String[] heads = both.split("\r\n\r\n", -1);
            assertEquals(3, heads.length, both);
            assertTrue(heads[0].startsWith("HTTP/1.1 " + status) && heads[1].startsWith("HTTP/1.1 " + status), both);
            assertEquals("", heads[2], both);
        }
    }

    private static void respondWithoutBody(HttpServerExchange exchange, int status) {
        CallerResponse response = new CallerResponse(exchange, "request-1");
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            response.onHead(head(status, "text/plain"));
            response.onEnd(Outcome.answered());
        });
    }
}
