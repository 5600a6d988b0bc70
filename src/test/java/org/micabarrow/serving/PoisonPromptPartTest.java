package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpCall;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against a part of prompts that crashes every endpoint in turn, since no two requests with it are alike. */
class PoisonPromptPartTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int ENDPOINTS = 8;

    /** As for a single request: three crashes identify the part, and three more attempts may be in flight then. */
    private static final int MAX_CRASHES = 6;

    private static final String POISON = "dead0001";

    private HostedSystem platform;
    private HttpClient client;
    private int attempts;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
        IntStream.range(0, ENDPOINTS).forEach(number -> platform.addEndpoint("model-" + number, "models", 1));
        platform.crashOnPromptPart(POISON);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedSettings entry() throws IOException {
        HostedSettings settings = platform.entrySettings();
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoints", () -> entry.takesRequests() && entry.endpoints() == ENDPOINTS);
        return settings;
    }

    /** Sends a request with a body and a last part of its own. */
    private int sendWith(HostedSettings entry, String... sharedParts) {
        attempts++;
        String parts = String.join(":100,", sharedParts) + ":100,e" + attempts + ":20";
        String clients = entry.listen().clients().orElseThrow();
        HttpCall call = HostedSystem.request(clients, "/stream/x", "try-" + attempts, "body " + attempts)
                .withHeader("Prompt-Prefix", parts);
        return client.call(call, TIMEOUT)
                .toOptional()
                .orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]))
                .status();
    }

    private void sendInTurn(List<HostedSettings> entries, String... poisonParts) {
        for (int round = 0; round < 10; round++) {
            for (HostedSettings entry : entries) {
                sendWith(entry, "aaaa0001", "bbbb000" + round % 3);
                sendWith(entry, poisonParts);
            }
        }
    }

    private void assertServed(HostedSettings entry, String... sharedParts) {
        // The entry may still have to read of the replacements of crashed endpoints.
        Await.until("an answer", () -> sendWith(entry, sharedParts) == 200);
    }

    @ParameterizedTest
    @ValueSource(strings = {"dead0001,bbbb0001", "aaaa0001,dead0001,bbbb0001", "aaaa0001,bbbb0001,dead0001"})
    void shouldRefuseAtEveryEntryWhenPartHasCrashedThreeEndpoints(String poisonParts) throws Exception {
        String[] parts = poisonParts.split(",");
        List<HostedSettings> entries = List.of(entry(), entry());
        sendInTurn(entries, parts);
        assertTrue(platform.crashCount() <= MAX_CRASHES, () -> "crashed endpoints: " + platform.crashCount());
        int before = platform.crashCount();
        for (HostedSettings entry : entries) {
            assertEquals(503, sendWith(entry, parts), "an answer that it was not run");
            assertServed(entry, "aaaa0001", "bbbb0001");
            assertServed(entry, "aaaa0001");
        }
        assertEquals(before, platform.crashCount());
    }

    @Test
    void shouldRefuseAtNewEntryWhenPartCrashedThreeEndpointsBefore() throws Exception {
        sendInTurn(List.of(entry()), "aaaa0001", POISON);
        Await.until("the crashes in the store", () -> platform.publishedCrashCount() == platform.crashCount());
        int before = platform.crashCount();
        HostedSettings newEntry = entry();
        assertEquals(503, sendWith(newEntry, "aaaa0001", POISON), "it has never received a request with the part");
        assertServed(newEntry, "aaaa0001", "bbbb0001");
        assertEquals(before, platform.crashCount());
    }

    /** Guards against a part being cleared by an endpoint that failed before it began to write an answer. */
    @Test
    void shouldRefuseAllTheSameWhenEndpointsFailInBetween() throws Exception {
        HostedSettings entry = entry();
        for (int round = 0; round < 10; round++) {
            sendWith(entry, "aaaa0001", POISON);
            platform.enqueueBehaviour(Behaviour.FAIL);
            sendWith(entry, "aaaa0001", POISON);
            assertServed(entry, "aaaa0001");
        }
        assertTrue(platform.crashCount() <= MAX_CRASHES, () -> "crashed endpoints: " + platform.crashCount());
        assertEquals(503, sendWith(entry, "aaaa0001", POISON));
    }

    @Test
    void shouldForwardListAsItCameWhenItIsMalformed() throws Exception {
        HostedSettings entry = entry();
        String list = "aaaa0001:100,,no part," + "bbbb0001:1,".repeat(200) + "cccc0001:20";
        HttpCall call = HostedSystem.request(entry.listen().clients().orElseThrow(), "/stream/x", "odd", "odd")
                .withHeader("Prompt-Prefix", list);
        assertEquals(200, client.call(call, TIMEOUT).toOptional().orElseThrow().status());
        List<String> received = platform.endpoints().values().stream()
                .flatMap(endpoint -> endpoint.received().stream())
                .map(request -> request.headers().get("Prompt-Prefix"))
                .toList();
        assertEquals(List.of(list), received);
    }

    /** The last part belongs to the request, and a single one is the last. */
    @Test
    void shouldServeWhenPartIsTheLastOfItsPrompt() throws Exception {
        HostedSettings entry = entry();
        sendInTurn(List.of(entry), "aaaa0001", POISON);
        assertServed(entry, "aaaa0001");
        int before = platform.crashCount();
        HttpCall call = HostedSystem.request(entry.listen().clients().orElseThrow(), "/stream/x", "last", "last")
                .withHeader("Prompt-Prefix", "aaaa0001:100," + POISON + ":100");
        assertEquals(200, client.call(call, TIMEOUT).toOptional().orElseThrow().status());
        assertEquals(before, platform.crashCount());
    }
}
