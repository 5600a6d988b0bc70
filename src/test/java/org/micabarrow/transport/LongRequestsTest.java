package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.micabarrow.AnswerReader;
import org.micabarrow.standin.Ports;

/** A request of several turns of its connection is received whole, also if what is left of it lies above the socket. */
class LongRequestsTest {

    private static final int CLIENTS = 3;

    @TempDir
    private static Path directory;

    private static TestCertificates certificates;

    @BeforeAll
    static void createCertificate() throws Exception {
        certificates = new TestCertificates(directory);
        certificates.create("entry");
    }

    private static Stream<Arguments> bodies() {
        return Stream.of(false, true)
                .flatMap(tls -> Stream.of(false, true)
                        .flatMap(chunked -> Stream.of(
                                        1, FairSource.TURN_BYTES, FairSource.TURN_BYTES + 1, 100_000, 8 << 20)
                                .map(bytes -> Arguments.of(tls, chunked, bytes))));
    }

    private static byte[] request(boolean chunked, int bytes) {
        String body = "x".repeat(bytes);
        String framed = chunked
                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes) + "\r\n" + body + "\r\n0\r\n\r\n"
                : "Content-Length: " + bytes + "\r\n\r\n" + body;
        return ("POST / HTTP/1.1\r\nHost: h\r\n" + framed).getBytes(StandardCharsets.US_ASCII);
    }

    private static String send(String address, boolean tls, byte[] request) {
        try (TestClient client =
                new TestClient(address, tls ? Optional.of(certificates.pem("entry", "crt")) : Optional.empty())) {
            client.out().write(request);
            AnswerReader answer = new AnswerReader(client.in());
            return answer.readsComplete()
                    ? answer.text().substring(answer.text().indexOf("\r\n\r\n") + 4)
                    : "broken";
        } catch (Exception e) {
            throw new IllegalStateException("the request was not answered", e);
        }
    }

    @ParameterizedTest
    @MethodSource("bodies")
    void shouldReceiveWholeBodyWhenItTakesSeveralTurns(boolean tls, boolean chunked, int bytes) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener = HttpListener.start(
                address,
                HttpListener.Limits.defaults(),
                1,
                tls ? Optional.of(certificates.serverContext("entry")) : Optional.empty(),
                exchange -> exchange.getRequestReceiver()
                        .receiveFullBytes(
                                (same, body) -> same.getResponseSender().send(Integer.toString(body.length))))) {
            byte[] request = request(chunked, bytes);
            List<CompletableFuture<String>> answers = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                answers.add(CompletableFuture.supplyAsync(() -> send(address, tls, request)));
            }
            for (CompletableFuture<String> answer : answers) {
                assertEquals(Integer.toString(bytes), answer.get());
            }
        }
    }
}
