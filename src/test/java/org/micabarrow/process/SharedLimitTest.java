package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.headers.HeaderFields;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** What one entry hears of an endpoint's limit reaches the others through the agent beside it. */
class SharedLimitTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private HostedSystem platform;
    private HttpClient client;
    private HostedSettings beside;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
        platform.addEndpoint("model-1", "models", 1);
        beside = platform.agentSettings("model-1");
        HostedAgentProcess.start(beside);
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        platform.close();
    }

    private HostedSettings begin() throws IOException {
        HostedSettings settings = platform.entrySettingsPolling(beside);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
        return settings;
    }

    private int ask(HostedSettings entry) {
        String clients = entry.listen().clients().orElseThrow();
        return client.call(HostedSystem.request(clients, "/stream/x", "attempt-1"), TIMEOUT)
                .toOptional()
                .orElse(new HttpResponse(0, HeaderFields.empty(), new byte[0]))
                .status();
    }

    private int received() {
        return platform.endpoint("model-1").received().size();
    }

    /** A limit so small that its next turn does not come while a test runs. */
    private void limit(HostedSettings entry) {
        Await.until("an answer", () -> ask(entry) == 200);
        platform.endpoint("model-1").setRateLimit(0.001);
        assertEquals(200, ask(entry));
    }

    @Test
    void shouldRefuseAtOtherEntryWhenOneHeardOfLimit() throws IOException {
        HostedSettings first = begin();
        HostedSettings second = begin();
        limit(first);
        Await.until("a refusal", () -> ask(second) == 503);
        int before = received();
        assertEquals(503, ask(second));
        assertEquals(503, ask(first));
        assertEquals(before, received());
    }

    @Test
    void shouldRefuseAtEntryThatStartsWhileLimitHolds() throws IOException {
        limit(begin());
        int before = received();
        HostedSettings late = begin();
        assertEquals(503, ask(late));
        assertEquals(before, received(), "requests that reached the endpoint");
    }
}
