package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.Await;
import org.micabarrow.EndlessEndpoint;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Guards against connections on which bytes always come, to readers that always take them, and that thereby keep the traffic thread
 * from all others.
 */
class FastAnswersTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** More than a test takes, so that nothing but its end ends the fast answers. */
    private static final long ROUTE_MILLIS = 60_000;

    private static final int MOST_CLIENTS = 4;
    private static final int ROUNDS = 10;

    /** How much clients take before others call, in bytes: more than all buffers on the way. */
    private static final long TAKEN_BYTES = 16 << 20;

    /** As much in answers of some hundred bytes. */
    private static final long TAKEN_REFUSALS_BYTES = 1 << 20;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n";
    private static final String FIELDS =
            " HTTP/1.1\r\nHost: h.example\r\nKey: key-a\r\nAttempt-Id: a\r\nModel: model-a\r\n"
                    + "Token-Count: 100,20\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n";

    private final List<TakingClient> takers = new ArrayList<>();
    private final AtomicLong manifestVersion = new AtomicLong(2);
    private HostedSystem platform;
    private HttpClient caller;
    private HostedSettings settings;
    private HostedEntryProcess entry;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        platform.publishManifest(manifestVersion.get(), "key-a", ROUTE_MILLIS);
        caller = HttpClient.start("test", 1);
        settings = platform.entrySettings();
    }

    @AfterEach
    void stop() throws Exception {
        for (TakingClient taker : takers) {
            taker.close();
        }
        caller.close();
        platform.close();
    }

    private void startEntry(int endpoints) throws IOException {
        entry = HostedEntryProcess.start(settings);
        Await.until("a manifest and the endpoints", () -> entry.takesRequests() && entry.endpoints() == endpoints);
    }

    private String clients() {
        return settings.listen().clients().orElseThrow();
    }

    // -- fast answers

    private static String first(String form) {
        return switch (form) {
            case "body" -> HEAD + "\r\n";
            case "long body" -> HEAD + "Content-Length: 4000000000000\r\n\r\n";
            case "chunk" -> CHUNKED + "\r\nfffffffffff\r\n";
            case "small chunks" -> CHUNKED + "\r\n";
            case "events" -> HEAD + STREAM;
            case "events in chunks" -> CHUNKED + STREAM;
            default -> throw new IllegalArgumentException(form);
        };
    }

    private static String repeated(String form) {
        return switch (form) {
            case "small chunks" -> "40\r\n" + "y".repeat(64) + "\r\n";
            case "events" -> "data: " + "y".repeat(120) + "\n\n";
            case "events in chunks" -> "80\r\ndata: " + "y".repeat(120) + "\n\n\r\n";
            default -> "y";
        };
    }

    @ParameterizedTest
    @CsvSource({
        "body,             /again/x",
        "long body,        /again/x",
        "chunk,            /once/x",
        "small chunks,     /again/x",
        "events,           /stream/x",
        "events in chunks, /stream/x"
    })
    void shouldAnswerOthersWhenAnswersHaveNoEnd(String form, String path) throws Exception {
        boolean stream = path.startsWith("/stream");
        try (EndlessEndpoint endless = new EndlessEndpoint(first(form), repeated(form), MOST_CLIENTS)) {
            platform.setAddress("endless", endless.address());
            platform.register("endless", stream ? "models" : "plain", stream ? 1 : 0, "ready");
            platform.addEndpoint("sound", stream ? "plain" : "models", stream ? 0 : 1);
            startEntry(2);
            String others = stream ? "/again/x" : "/stream/x";
            assertEquals(200, status(others, "key-a"));
            takers.add(TakingClient.sendingOnce(clients(), "POST " + path + FIELDS));
            assertOthersAnswered(others, TAKEN_BYTES);
            while (takers.size() < MOST_CLIENTS) {
                takers.add(TakingClient.sendingOnce(clients(), "POST " + path + FIELDS));
            }
            assertOthersAnswered(others, TAKEN_BYTES);
        }
    }

    /** Each request that is refused takes no endpoint, so that the next one follows at once. */
    @Test
    void shouldAnswerOthersWhenRequestsSentAheadHaveNoEnd() throws Exception {
        platform.addEndpoint("sound", "plain", 0);
        startEntry(1);
        assertEquals(200, status("/again/x", "key-a"));
        while (takers.size() < MOST_CLIENTS) {
            takers.add(TakingClient.sendingWithoutEnd(clients(), "POST /nothing/x" + FIELDS));
        }
        assertOthersAnswered("/again/x", TAKEN_REFUSALS_BYTES);
    }

    // -- others

    private void assertOthersAnswered(String path, long bytes) {
        for (TakingClient taker : takers) {
            Await.until("a fast answer", () -> taker.takenBytes() > 0);
        }
        long before = taken();
        Await.until("the fast answers", () -> taken() > before + bytes);
        for (int round = 0; round < ROUNDS; round++) {
            assertEquals(200, status(path, "key-a"));
            assertEquals(404, status("/nothing/x", "key-a"));
            assertEquals(200, status(HttpCall.get(Step.READ, URI.create("http://" + ready() + "/"))));
        }
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        HttpCall unanswered = HostedSystem.request(clients(), path, "b").withHeader("Deadline-Ms", "300");
        assertEquals(504, status(unanswered), "its deadline is a timer of the thread");
        assertNewManifestInForce(path);
        assertTrue(takers.stream().noneMatch(TakingClient::ended), "a fast answer has ended");
        Await.until("the fast answers going on", () -> taken() > before + 2 * bytes);
    }

    private void assertNewManifestInForce(String path) {
        for (String key : List.of("key-b", "key-a")) {
            platform.publishManifest(manifestVersion.incrementAndGet(), key, ROUTE_MILLIS);
            Await.until("the new manifest", () -> status(path, key) == 200);
        }
    }

    private long taken() {
        return takers.stream().mapToLong(TakingClient::takenBytes).sum();
    }

    private String ready() {
        return settings.listen().ready().orElseThrow();
    }

    private int status(String path, String key) {
        return status(HostedSystem.request(clients(), path, "b").withHeader("Key", key));
    }

    private int status(HttpCall call) {
        return caller.call(call, TIMEOUT).toOptional().map(HttpResponse::status).orElse(0);
    }
}
