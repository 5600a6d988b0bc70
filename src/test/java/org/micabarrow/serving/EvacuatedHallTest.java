package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Guards against requests to endpoints in a data hall that is evacuated. */
class EvacuatedHallTest extends ServingFixture {

    private void addEndpoints() {
        platform.publishManifest(2, "key-a", TIMEOUT.toMillis());
        platform.addEndpointIn("hall-a", "plain-a", "plain", 0);
        platform.addEndpointIn("hall-b", "plain-b", "plain", 0);
        platform.addEndpointIn("hall-a", "model-a", "models", 1);
        platform.addEndpointIn("hall-b", "model-b", "models", 1);
    }

    private void start() throws IOException {
        addEndpoints();
        serveWithoutVersions();
        Await.until("the endpoints", () -> views.view().endpoints().size() == 4);
    }

    private void evacuate(String... halls) {
        Set.of(halls).forEach(platform::evacuate);
        Await.until("the evacuation", () -> views.view().evacuatedHalls().equals(Set.of(halls)));
    }

    private int receivedIn(String hall) {
        return received("plain-" + hall) + received("model-" + hall);
    }

    private static String text(HttpResponse response) {
        return new String(response.body(), StandardCharsets.UTF_8);
    }

    // -- requests

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/again/x", "/stream/x"})
    void shouldServeElsewhereUntilHallIsTakenBack(String path) throws IOException {
        start();
        assertEquals(200, sendRequest(path).status());
        int before = receivedIn("a");
        evacuate("hall-a");
        for (int request = 0; request < 20; request++) {
            assertEquals(200, sendRequest(path).status());
        }
        assertEquals(before, receivedIn("a"));
        platform.cancelEvacuation("hall-a");
        Await.until("the return", () -> views.view().evacuatedHalls().isEmpty());
        assertEquals(200, sendRequest(path).status());
        assertEquals(1, received("plain-a") + received("model-a") - before, "the own region's endpoint is used again");
    }

    @ParameterizedTest
    @CsvSource({"FAIL, /again/x", "RESET, /again/x", "REFUSE, /once/x", "TRUNCATE, /stream/x", "RESET, /stream/x"})
    void shouldNotRetryInEvacuatedHall(Behaviour first, String path) throws IOException {
        start();
        evacuate("hall-a");
        platform.enqueueBehaviour(first);
        sendRequest(path);
        assertEquals(1, receivedIn("b"));
        assertEquals(0, receivedIn("a"));
    }

    @Test
    void shouldSendWaitingRequestElsewhereWhenItsHallIsEvacuated() throws Exception {
        start();
        selector.load("model-a").reported(new LoadReport(16, 0, false, 1), 0, clockMillis.get());
        selector.load("model-b").reported(new LoadReport(16, 0, false, 1), 0, clockMillis.get());
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/stream/x"));
        Await.until("the request", () -> handler.connections().inFlightCount() == 1);
        evacuate("hall-a");
        checkRequests(() -> reportIdle("model-a", 1));
        assertEquals(0, receivedIn("a"));
        checkRequests(() -> reportIdle("model-b", 1));
        assertEquals(
                200, response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status());
        assertEquals(0, receivedIn("a"));
    }

    @Test
    void shouldRefuseAtOnceWhenAllHallsAreEvacuated() throws IOException {
        start();
        evacuate("hall-a", "hall-b");
        HttpResponse refused = sendRequest("/once/x");
        assertEquals(503, refused.status());
        assertTrue(text(refused).contains("evacuated"), text(refused));
        assertEquals(0, receivedIn("a") + receivedIn("b"));
    }

    @Test
    void shouldLetRequestsInProgressEndByThemselves() throws Exception {
        start();
        platform.enqueueBehaviour(Behaviour.NEVER_ANSWER);
        CompletableFuture<HttpResponse> response = CompletableFuture.supplyAsync(() -> sendRequest("/again/x"));
        Await.until("the request", () -> platform.endpoint("plain-a").unansweredCount() == 1);
        evacuate("hall-a");
        checkRequests(() -> {});
        assertEquals(1, platform.endpoint("plain-a").unansweredCount());
        assertEquals(0, receivedIn("b"));
        checkRequests(() -> clockMillis.addAndGet(60_000));
        response.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Test
    void shouldServeAsBeforeWhenUnknownHallIsEvacuated() throws IOException {
        start();
        platform.evacuate("hall-z");
        platform.publishManifest(3, "key-a", TIMEOUT.toMillis());
        Await.until("the manifest", () -> views.view().manifest().orElseThrow().version() == 3);
        assertEquals(200, sendRequest("/once/x").status());
        assertEquals(1, receivedIn("a"));
    }

    // -- the store, restarts

    @Test
    void shouldStayEvacuatedWhenStoreIsAway() throws IOException {
        start();
        evacuate("hall-a");
        platform.store().setRefusalStatus(Optional.of(503));
        for (int request = 0; request < 10; request++) {
            assertEquals(200, sendRequest("/again/x").status());
        }
        assertEquals(0, receivedIn("a"));
        platform.store().dropHistory("keyed.op");
        platform.store().setRefusalStatus(Optional.empty());
        platform.cancelEvacuation("hall-a");
        Await.until("the return", () -> views.view().evacuatedHalls().isEmpty());
    }

    @Test
    void shouldStayEvacuatedWhenEntryStartsAgain() throws Exception {
        addEndpoints();
        platform.evacuate("hall-a");
        platform.store().dropHistory("keyed.op");
        for (int starts = 0; starts < 2; starts++) {
            HostedSettings entry = platform.entrySettings();
            try (HostedEntryProcess process = HostedEntryProcess.start(entry)) {
                Await.until("the endpoints", () -> process.takesRequests() && process.endpoints() == 4);
                String clients = entry.listen().clients().orElseThrow();
                for (int request = 0; request < 10; request++) {
                    assertEquals(
                            200,
                            client.call(HostedSystem.request(clients, "/again/x", "attempt-1"), TIMEOUT)
                                    .toOptional()
                                    .orElseThrow()
                                    .status());
                }
            }
        }
        assertEquals(0, receivedIn("a"));
        assertEquals(20, receivedIn("b"));
    }
}
