package org.micabarrow.coordination.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.standin.EngineStandin;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.EndpointClient;
import org.micabarrow.transport.HttpClient;

/** Orders of an agent's earlier process, or of an earlier configuration, come to nothing. */
class FenceTest {

    private static Endpoint.Order order(long epoch, long generation, Endpoint.Action action) {
        return new Endpoint.Order(new Endpoint.Fence(epoch, generation), action, "version", List.of());
    }

    @Test
    void shouldOrderByProcessBeforeConfiguration() {
        assertTrue(new Endpoint.Fence(1, 9).compareTo(new Endpoint.Fence(2, 3)) < 0);
        assertTrue(new Endpoint.Fence(2, 3).compareTo(new Endpoint.Fence(2, 4)) < 0);
    }

    @Test
    void shouldRefuseOrderOfPausedProcessThatWakes() throws Exception {
        String address = Ports.freeAddress();
        EngineStandin engine = EngineStandin.start(address, new EngineStandin.Timing(2, 1, 1));
        try (HttpClient http = HttpClient.start("test", 1)) {
            EndpointClient client = new EndpointClient(http, "http://" + address);
            assertTrue(
                    client.order(order(2, 5, Endpoint.Action.LOAD)).toOptional().isPresent());
            Result<Boolean> late = client.order(order(1, 9, Endpoint.Action.UNLOAD));
            assertEquals(Fault.Reason.CONFLICT, late.cause().orElseThrow().reason());
            assertEquals(
                    List.of("version"),
                    client.report().toOptional().orElseThrow().loaded());
        } finally {
            engine.close();
        }
    }
}
