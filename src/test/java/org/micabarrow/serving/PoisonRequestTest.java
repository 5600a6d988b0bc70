package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.state.Fault.Step;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Guards against a poison request that crashes every endpoint that begins to run it.
 *
 * <p>In production, one request crashed nineteen endpoints in turn, with everything that ran there, and hardly any
 * client was served meanwhile. After each crash the client sent the same request again under a new id, to any entry,
 * which sent it to the next endpoint. An entry forgot a request once it had responded, and knew it only by its id,
 * which differs for each retry. Nothing showed that the broken connection was that of a crashed endpoint, and no other
 * process learned of it. In the logs of the entries, each of these attempts was the first of its request, the digests
 * of the requests were equal, and agents could not connect to the endpoints within 10 ms of the break.
 */
class PoisonRequestTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int ENDPOINTS = 8;

    /**
     * How many endpoints the request may crash in all: three crashes identify it, and three more attempts may be in
     * flight then.
     */
    private static final int MAX_CRASHES = 6;

    private static final String CRASHING = "crashes any endpoint";
    private static final String HARMLESS = "harmless";

    private HostedSystem platform;
    private HttpClient client;
    private int attempts;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
        IntStream.range(0, ENDPOINTS).forEach(number -> platform.addEndpoint("plain-" + number, "plain", 0));
        IntStream.range(0, ENDPOINTS).forEach(number -> platform.addEndpoint("model-" + number, "models", 1));
        platform.crashOnBody(CRASHING);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedSettings entry() throws IOException {
        HostedSettings settings = platform.entrySettings();
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoints", () -> entry.takesRequests() && entry.endpoints() == 2 * ENDPOINTS);
        return settings;
    }

    /** Sends a request as a retrying client does: the same request under a new id. */
    private HttpResponse sendRequest(HostedSettings entry, String path, String body) {
        attempts++;
        String clients = entry.listen().clients().orElseThrow();
        HttpCall call = HostedSystem.request(clients, path, "try-" + attempts, body);
        return client.call(call, TIMEOUT).toOptional().orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]));
    }

    private void sendInTurn(List<HostedSettings> entries, String path) {
        for (int round = 0; round < 10; round++) {
            for (HostedSettings entry : entries) {
                sendRequest(entry, path, CRASHING);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/again/x", "/stream/x"})
    void shouldRefuseAtEveryEntryWhenRequestHasCrashedThreeEndpoints(String path) throws Exception {
        List<HostedSettings> entries = List.of(entry(), entry());
        sendInTurn(entries, path);
        assertTrue(platform.crashCount() <= MAX_CRASHES, () -> "crashed endpoints: " + platform.crashCount());
        int before = platform.crashCount();
        for (HostedSettings entry : entries) {
            assertEquals(503, sendRequest(entry, path, CRASHING).status(), "a response that it was not run");
            // The entry may still have to read the updates about crashed endpoints and their replacements.
            Await.until(
                    "a response to another body",
                    () -> sendRequest(entry, path, HARMLESS).status() == 200);
        }
        assertEquals(before, platform.crashCount());
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void shouldBeKnownToEveryEntryWhenOneHasSeenThreeCrashes(int count) throws Exception {
        List<HostedSettings> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry());
        }
        while (sendRequest(entries.getFirst(), "/again/x", CRASHING).status() != 503) {
            assertTrue(platform.crashCount() <= MAX_CRASHES, () -> "crashed endpoints: " + platform.crashCount());
        }
        Await.until("the update at every entry", () -> entries.stream().allMatch(this::refuses));
    }

    /** Whether an entry refuses the request, judged by its metrics so that no request has to be sent. */
    private boolean refuses(HostedSettings entry) {
        URI uri = URI.create("http://" + entry.listen().metrics() + "/metrics");
        return client.call(HttpCall.get(Step.READ, uri), TIMEOUT)
                .toOptional()
                .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                .filter(metrics -> metrics.contains("\"crashes.culprits\":1"))
                .isPresent();
    }

    @Test
    void shouldRefuseAtNewEntryWhenRequestCrashedThreeEndpointsBefore() throws Exception {
        sendInTurn(List.of(entry()), "/again/x");
        Await.until("the crashes in the store", () -> platform.publishedCrashCount() == platform.crashCount());
        int before = platform.crashCount();
        HostedSettings newEntry = entry();
        assertEquals(
                503, sendRequest(newEntry, "/again/x", CRASHING).status(), "it has never received the request before");
        assertEquals(before, platform.crashCount());
    }
}
