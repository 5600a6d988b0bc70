package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.platform.standin.HostedSystem;
import org.micabarrow.process.HostedEntryProcess;
import org.micabarrow.settings.HostedSettings;

/** Guards against a rate limit that other entries hear of only with the next round of queries. */
class RateLimitQueryTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** So many that none of these limits delays a request. */
    private static final double BASE_PER_SECOND = 1_000_000;

    private static final int LIMITS = 5;

    private HostedSystem platform;
    private HttpClient client;
    private DatagramChannel agent;
    private HostedSettings settings;

    @BeforeEach
    void start() throws IOException {
        platform = HostedSystem.start();
        client = HttpClient.start("client", 1);
        platform.addEndpoint("model-1", "models", 1);
        HostedSettings beside = platform.agentSettings("model-1");
        agent = DatagramChannel.open().bind(Addresses.parse(beside.listen().peers()));
        agent.configureBlocking(false);
        settings = platform.entrySettingsPolling(beside);
        HostedEntryProcess entry = HostedEntryProcess.start(settings);
        Await.until("the endpoint", () -> entry.takesRequests() && entry.endpoints() == 1);
    }

    @AfterEach
    void stop() throws Exception {
        agent.close();
        client.close();
        platform.close();
    }

    private int ask() {
        String clients = settings.listen().clients().orElseThrow();
        return client.call(HostedSystem.request(clients, "/stream/x", "attempt-1"), TIMEOUT)
                .toOptional()
                .orElseThrow()
                .status();
    }

    /** The limits in those queries that have arrived and have not been read. */
    private List<OptionalDouble> arrivedLimits() throws IOException {
        List<OptionalDouble> limits = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.allocate(512);
        while (agent.receive(buffer) != null) {
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes).clear();
            Optional<RateLimitUpdate> update = LoadMessages.readQuery(bytes).rateLimit();
            update.map(RateLimitUpdate::perSecond).ifPresent(limits::add);
        }
        return limits;
    }

    @Test
    void shouldQueryAgentBeforeResponseReachesClientWhenLimitChanges() throws IOException {
        for (int i = 0; i < LIMITS; i++) {
            double perSecond = BASE_PER_SECOND + i;
            platform.endpoint("model-1").setRateLimit(perSecond);
            assertEquals(200, ask());
            List<OptionalDouble> arrived = arrivedLimits();
            assertTrue(arrived.contains(OptionalDouble.of(perSecond)), perSecond + " is not in " + arrived);
        }
    }
}
