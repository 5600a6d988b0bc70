package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedEndpointStandin.Behaviour;
import org.micabarrow.platform.standin.HostedEndpointStandin.Shutdown;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedAgentProcess;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/**
 * Guards against requests to an endpoint that states in its responses that it is draining.
 *
 * <p>Users saw requests reach an endpoint 2.1 and 3.3 s after it had begun to drain. The store had become unreachable
 * half a second before the endpoint wrote its draining state, and accepted the record only twelve seconds later.
 * Meanwhile the endpoint stated in each response that it was draining; the entry forwarded these responses but kept
 * sending requests. Cause: the draining state was read from the store only; of a response head, the entry read only
 * what concerned that one request. In the entry's log of that day, the endpoint has {@code leaving=false} and gets
 * requests until the store is back.
 */
class DrainingEndpointTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long FIRST_START = 1_764_718_000_000L;

    private HostedSystem platform;
    private HttpClient client;

    @BeforeEach
    void start() {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedEntryProcess startEntry(HostedSettings settings, int endpoints) throws IOException {
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoints", () -> entry.takesRequests() && entry.endpoints() == endpoints);
        return entry;
    }

    private int sendRequest(HostedSettings entry, String path) {
        String clients = entry.listen().clients().orElseThrow();
        return client.call(HostedSystem.request(clients, path, "attempt-1"), TIMEOUT)
                .toOptional()
                .orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]))
                .status();
    }

    private int received(String endpoint) {
        return platform.endpoint(endpoint).received().size();
    }

    /** Returns the endpoint that an idle entry chooses, which is always the same among equal ones. */
    private String chosen(HostedSettings entry, String path, String... endpoints) {
        Map<String, Integer> before = new HashMap<>();
        Stream.of(endpoints).forEach(endpoint -> before.put(endpoint, received(endpoint)));
        Await.until("a response", () -> sendRequest(entry, path) == 200);
        return Stream.of(endpoints)
                .filter(endpoint -> received(endpoint) > before.get(endpoint))
                .findFirst()
                .orElseThrow();
    }

    /** Makes an endpoint drain, and lets it send one more response. */
    private void drain(HostedSettings entry, String path, String endpoint) {
        platform.endpoint(endpoint).startDraining();
        assertEquals(endpoint, chosen(entry, path, endpoint));
    }

    private void assertServedWithout(HostedSettings entry, String path, String endpoint) {
        int before = received(endpoint);
        for (int request = 0; request < 20; request++) {
            assertEquals(200, sendRequest(entry, path));
        }
        assertEquals(before, received(endpoint), "requests that reached the draining endpoint");
    }

    @Test
    void shouldSendNothingMoreWhenResponseStatesDraining() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        HostedSettings entry = platform.entrySettings();
        startEntry(entry, 2);
        String drainingEndpoint = chosen(entry, "/again/x", "plain-1", "plain-2");
        platform.store().setUnresponsive(true);
        drain(entry, "/again/x", drainingEndpoint);
        assertServedWithout(entry, "/again/x", drainingEndpoint);
    }

    @Test
    void shouldSendNothingMoreWhenRefusalStatesDraining() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        HostedSettings entry = platform.entrySettings();
        startEntry(entry, 1);
        platform.endpoint("plain-1").startDraining();
        platform.enqueueBehaviour(Behaviour.REFUSE);
        assertEquals(503, sendRequest(entry, "/once/x"));
        int before = received("plain-1");
        assertEquals(503, sendRequest(entry, "/once/x"));
        assertEquals(before, received("plain-1"));
    }

    @Test
    void shouldStayDrainingWhenOlderRecordIsReadAfterResponse() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.addEndpoint("plain-2", "plain", 0);
        HostedSettings settings = platform.entrySettings();
        HostedEntryProcess entry = startEntry(settings, 2);
        String drainingEndpoint = chosen(settings, "/again/x", "plain-1", "plain-2");
        drain(settings, "/again/x", drainingEndpoint);
        platform.store().append("keyed.servers", drainingEndpoint, "");
        Await.until("the removal", () -> entry.endpoints() == 1);
        platform.register(drainingEndpoint, "plain", 0, "ready");
        Await.until("the late record", () -> entry.endpoints() == 2);
        assertServedWithout(settings, "/again/x", drainingEndpoint);
    }

    @Test
    void shouldSendAgainWhenEndpointRestarts() throws Exception {
        platform.addEndpoint("plain-1", "plain", 0);
        platform.setStartedMillis("plain-1", FIRST_START);
        platform.register("plain-1", "plain", 0, "ready");
        HostedSettings settings = platform.entrySettings();
        startEntry(settings, 1);
        drain(settings, "/again/x", "plain-1");
        assertEquals(503, sendRequest(settings, "/again/x"));
        platform.restart("plain-1", FIRST_START + 5_000, Shutdown.CRASH);
        platform.register("plain-1", "plain", 0, "ready");
        Await.until("a response of the new process", () -> sendRequest(settings, "/again/x") == 200);
    }

    /**
     * An entry must also learn the state from the agent, if it has no response of the endpoint itself because only
     * other entries sent requests there.
     */
    @Test
    void shouldSendNothingMoreWhenAgentReportsDraining() throws Exception {
        platform.addEndpoint("model-1", "models", 1);
        platform.addEndpoint("model-2", "models", 1);
        HostedSettings agent = platform.agentSettings("model-1");
        HostedAgentProcess.start(agent);
        HostedSettings settings = platform.entrySettingsPolling(agent);
        startEntry(settings, 2);
        platform.store().setUnresponsive(true);
        platform.endpoint("model-1").startDrainingInReportsOnly();
        Await.until("the agent's report", () -> {
            int before = received("model-1");
            for (int request = 0; request < 10; request++) {
                sendRequest(settings, "/stream/x");
            }
            return received("model-1") == before;
        });
    }

    @Test
    void shouldSendToEndpointWithAgentUntilItDrains() throws Exception {
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings agent = platform.agentSettings("model-1");
        HostedAgentProcess.start(agent);
        HostedSettings settings = platform.entrySettingsPolling(agent);
        startEntry(settings, 1);
        Await.until("a response", () -> sendRequest(settings, "/stream/x") == 200);
        platform.endpoint("model-1").startDrainingInReportsOnly();
        Await.until("a refusal", () -> sendRequest(settings, "/stream/x") == 503);
    }
}
