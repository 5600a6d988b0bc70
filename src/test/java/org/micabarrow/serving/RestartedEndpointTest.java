package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.Await;
import org.micabarrow.platform.standin.HostedEndpointStandin;
import org.micabarrow.platform.standin.HostedEndpointStandin.Shutdown;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedAgentProcess;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpClient.HttpResponse;

/** Tests how an entry and an agent handle a model endpoint that restarts under the same id, over real sockets. */
class RestartedEndpointTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long FIRST_START = 1_764_718_000_000L;
    private static final long SECOND_START = FIRST_START + 30_000;
    private static final String ID = "model-1";

    private HostedSystem platform;
    private HostedEndpointStandin endpoint;
    private HttpClient caller;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        platform.addEndpoint(ID, "models", 1);
        platform.setStartedMillis(ID, FIRST_START);
        platform.register(ID, "models", 1, "ready");
        endpoint = platform.endpoint(ID);
        caller = HttpClient.start("test", 1);
        HostedSettings agent = platform.agentSettings(ID);
        settings = platform.entrySettingsPolling(agent);
        HostedAgentProcess.start(agent);
        HostedEntryProcess.start(settings);
        Await.until("a response of version 1", () -> sendRequest() == 200);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        platform.close();
    }

    private int sendRequest() {
        String clients = settings.listen().clients().orElseThrow();
        return caller.call(HostedSystem.request(clients, "/stream/x", "attempt-1"), TIMEOUT)
                .toOptional()
                .map(HttpResponse::status)
                .orElse(0);
    }

    /**
     * A refusal alone does not show that the entry knows of the restart: it also follows an attempt that the endpoint
     * refused.
     */
    private boolean refusesWithoutSending() {
        int before = endpoint.misdirectedCount();
        return sendRequest() == 503 && endpoint.misdirectedCount() == before;
    }

    private void nameVersion(long version) {
        platform.store().append("keyed.op", "version/model-a", "{\"model\":\"model-a\",\"version\":" + version + "}");
    }

    private void restart(Shutdown ending) {
        platform.restart(ID, SECOND_START, ending);
        platform.register(ID, "models", 0, "ready");
    }

    @Test
    void shouldSendNothingToRestartedEndpointWithoutWeights() {
        restart(Shutdown.CRASH);
        Await.until("no endpoint to send to", this::refusesWithoutSending);
        int before = endpoint.misdirectedCount();
        for (int request = 0; request < 5; request++) {
            assertEquals(503, sendRequest());
        }
        assertEquals(
                before, endpoint.misdirectedCount(), "requests that were sent although the endpoint holds no weights");
    }

    @ParameterizedTest
    @EnumSource(Shutdown.class)
    void shouldRestoreNamedVersionAtRestartedEndpoint(Shutdown ending) {
        nameVersion(2);
        Await.until("version 2", () -> endpoint.version() == 2);
        Await.until("a response of version 2", () -> sendRequest() == 200);
        restart(ending);
        Await.until("version 2 again", () -> endpoint.version() == 2);
        Await.until("a response of the new process", () -> sendRequest() == 200);
    }
}
