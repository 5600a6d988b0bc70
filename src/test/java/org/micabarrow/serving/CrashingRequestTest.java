package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpAnswer;

/**
 * A request that ends every endpoint that begins to run it.
 *
 * <p>Users saw their endpoints end one after the other, nineteen by one request, with all that ran there; hardly anybody was
 * served meanwhile. A client's request reached an endpoint, which ended and was back some seconds later; the client sent the same
 * again, under a new id, to whichever entry it met, and that sent it to the next endpoint. Cause: an entry forgot a request with its
 * answer, and what it knew of it while it ran was its id, which is another one at each try. Nothing told that the connection that
 * broke was that of an endpoint that had ended, and nobody else learned of it. Evidence: in the entries' lines of that day each of
 * these sendings is the first of its request, the requests' digests are the same, and agents beside the endpoints could not connect
 * to them within 10 ms of the break.
 */
class CrashingRequestTest {

    private static final Duration WITHIN = Duration.ofSeconds(10);
    private static final int ENDPOINTS = 8;

    /** How many endpoints the request may end in all: three tell what it is, three more may have been on their way to it. */
    private static final int MOST_CRASHES = 6;

    private static final String CRASHING = "ends whoever runs it";
    private static final String HARMLESS = "harms nobody";

    private HostedSystem platform;
    private HttpClient client;
    private int attempts;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
        IntStream.range(0, ENDPOINTS).forEach(number -> platform.add("plain-" + number, "plain", 0));
        IntStream.range(0, ENDPOINTS).forEach(number -> platform.add("model-" + number, "models", 1));
        platform.crashOn(CRASHING);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedSettings entry() throws IOException {
        HostedSettings settings = platform.entry();
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoints", () -> entry.takesRequests() && entry.endpoints() == 2 * ENDPOINTS);
        return settings;
    }

    /** Sends a request as a client does that tries anew: the same, under an id of its own. */
    private HttpAnswer ask(HostedSettings entry, String path, String body) {
        attempts++;
        String clients = entry.listen().clients().orElseThrow();
        HttpCall call = HostedSystem.request(clients, path, "try-" + attempts, body);
        return client.call(call, WITHIN).toOptional().orElse(new HttpAnswer(0, Map.of(), new byte[0]));
    }

    private void sendInTurn(List<HostedSettings> entries, String path) {
        for (int round = 0; round < 10; round++) {
            for (HostedSettings entry : entries) {
                ask(entry, path, CRASHING);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/stream/x"})
    void shouldRefuseAtEveryEntryWhenRequestHasEndedThreeEndpoints(String path) throws Exception {
        List<HostedSettings> entries = List.of(entry(), entry());
        sendInTurn(entries, path);
        assertTrue(platform.crashes() <= MOST_CRASHES, () -> "endpoints ended: " + platform.crashes());
        int before = platform.crashes();
        for (HostedSettings entry : entries) {
            assertEquals(503, ask(entry, path, CRASHING).status(), "told that it was not run");
            // The entry may still have to read that endpoints ended, and of those that took their places.
            Await.until(
                    "an answer to another body",
                    () -> ask(entry, path, HARMLESS).status() == 200);
        }
        assertEquals(before, platform.crashes());
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void shouldBeKnownToEveryEntryWhenOneHasSeenThreeEndpointsEnd(int count) throws Exception {
        List<HostedSettings> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry());
        }
        while (ask(entries.getFirst(), "/again/x", CRASHING).status() != 503) {
            assertTrue(platform.crashes() <= MOST_CRASHES, () -> "endpoints ended: " + platform.crashes());
        }
        Await.until("the news everywhere", () -> entries.stream().allMatch(this::refuses));
    }

    /** Whether an entry refuses a request, by its figures, so that nothing is sent for the question. */
    private boolean refuses(HostedSettings entry) {
        URI uri = URI.create("http://" + entry.listen().metrics() + "/metrics");
        return client.call(HttpCall.get(Step.READ, uri), WITHIN)
                .toOptional()
                .map(answer -> new String(answer.body(), StandardCharsets.UTF_8))
                .filter(figures -> figures.contains("\"crashes.culprits\":1"))
                .isPresent();
    }

    @Test
    void shouldRefuseAtEntryThatStartedWhenRequestHadEndedThreeEndpointsBefore() throws Exception {
        sendInTurn(List.of(entry()), "/again/x");
        Await.until("the crashes in the store", () -> platform.crashesTold() == platform.crashes());
        int before = platform.crashes();
        HostedSettings fresh = entry();
        assertEquals(503, ask(fresh, "/again/x", CRASHING).status(), "it never saw the request before");
        assertEquals(before, platform.crashes());
    }
}
