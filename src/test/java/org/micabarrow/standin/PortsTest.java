package org.micabarrow.standin;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import com.codahale.metrics.MetricRegistry;
import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.ServerServiceDefinition;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.micabarrow.transport.grpc.PeerChannels;

/**
 * An agent that was killed and started again at its address in the same process failed to start, once, on a busy machine:
 * "address already in use". Its former server had been told to stop, and closed its port on another thread a moment later.
 */
class PortsTest {

    /** How often a server is stopped and started again: without the wait a start failed in each run of as many. */
    private static final int STARTS = 200;

    private static final BindableService NOTHING =
            () -> ServerServiceDefinition.builder("nothing").build();

    @Test
    void shouldStartAgainAtSameAddressWhenServerWasStopped() {
        String address = Ports.freeAddress();
        try (PeerChannels channels = new PeerChannels(new MetricRegistry(), Optional.empty())) {
            for (int i = 0; i < STARTS; i++) {
                assertDoesNotThrow(() -> Ports.awaitFree(address));
                Server server = assertDoesNotThrow(() -> channels.serve(address, NOTHING));
                server.shutdownNow();
            }
        }
    }
}
