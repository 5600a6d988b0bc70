package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.weights.ModelEndpoint.OrderOutcome;
import org.micabarrow.weights.ModelEndpoint.Report;

/** What is read from an endpoint's report. */
class EndpointCallsTest {

    private static final int LAYERS = 16;

    private static final HttpString LEAVING = new HttpString("Server-Leaving");

    private final AtomicInteger received = new AtomicInteger();
    private volatile String report = "";
    private volatile Optional<String> leaving = Optional.empty();
    private volatile int layers = LAYERS;
    private String address;
    private HttpListener listener;
    private HttpClient caller;

    @BeforeEach
    void start() throws Exception {
        address = Ports.freeAddress();
        listener = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), exchange -> {
            received.incrementAndGet();
            leaving.ifPresent(stated -> exchange.getResponseHeaders().put(LEAVING, stated));
            exchange.getResponseSender().send(report, StandardCharsets.UTF_8);
        });
        caller = HttpClient.start("test", 1);
    }

    @AfterEach
    void stop() throws Exception {
        caller.close();
        listener.close();
    }

    private Report read(String layers) {
        report = "{\"models\":[{\"name\":\"m\",\"version\":2}]," + layers + "\"sequence\":3}";
        return new EndpointCalls(caller, address, () -> LAYERS)
                .report()
                .toOptional()
                .orElseThrow();
    }

    @Test
    void shouldHoldVersionWhenAllLayersAreThere() {
        Report whole = read("\"layers\":{\"from\":0,\"target_version\":16,\"version\":2},");
        assertEquals(Map.of("m", 2L), whole.models());
        assertEquals(Map.of(), whole.partialModels());
    }

    @Test
    void shouldHoldVersionInPartWhenLayersAreMissing() {
        Report part = read("\"layers\":{\"from\":3,\"target_version\":4,\"version\":2},");
        assertEquals(Map.of(), part.models());
        assertEquals(Map.of("m", 2L), part.partialModels());
        assertEquals(3, part.orderCount());
    }

    @Test
    void shouldHoldVersionWhenLayersAreNotTold() {
        assertEquals(Map.of("m", 2L), read("").models());
    }

    // -- orders

    @Test
    void shouldSendNothingWhenOrderIsNoLongerDue() {
        EndpointCalls calls = new EndpointCalls(caller, address, () -> LAYERS);
        assertEquals(Result.success(OrderOutcome.WITHHELD), calls.load("m", 2, 0, () -> false));
        assertEquals(0, received.get());
        assertEquals(Result.success(OrderOutcome.HELD), calls.load("m", 2, 0, () -> true));
        assertEquals(1, received.get());
    }

    // -- the same answer again

    private static Report next(EndpointCalls calls) {
        return calls.report().toOptional().orElseThrow();
    }

    @Test
    void shouldDecodeAgainWhenAnythingHasChanged() {
        EndpointCalls calls = new EndpointCalls(caller, address, () -> layers);
        report = "{\"models\":[{\"name\":\"m\",\"version\":2}],"
                + "\"layers\":{\"from\":0,\"target_version\":16,\"version\":2},\"sequence\":3}";
        Report first = next(calls);
        assertSame(first, next(calls));
        leaving = Optional.of("1");
        assertTrue(next(calls).draining());
        leaving = Optional.empty();
        assertFalse(next(calls).draining());
        report = report.replace("\"sequence\":3", "\"sequence\":4");
        assertEquals(4, next(calls).orderCount());
        layers = LAYERS + 1;
        assertEquals(Map.of("m", 2L), next(calls).partialModels());
    }
}
