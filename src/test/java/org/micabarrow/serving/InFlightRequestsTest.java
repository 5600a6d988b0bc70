package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks that a failure of one request in flight does not affect the others. */
class InFlightRequestsTest {

    private final InFlightRequests inFlight = new InFlightRequests();
    private final List<String> calls = new ArrayList<>();

    private final class Failing implements InFlightRequests.InFlightRequest {

        @Override
        public void check() {
            throw new IllegalStateException("test failure");
        }

        @Override
        public void end(String reason) {
            throw new IllegalStateException("test failure");
        }
    }

    private final class Healthy implements InFlightRequests.InFlightRequest {

        @Override
        public void check() {
            calls.add("checked");
        }

        @Override
        public void end(String reason) {
            calls.add(reason);
        }
    }

    @BeforeEach
    void addRequests() {
        inFlight.add(new Failing());
        inFlight.add(new Healthy());
    }

    @Test
    void shouldCheckOthersWhenOneFails() {
        inFlight.checkAll();
        assertEquals(List.of("checked"), calls);
    }

    @Test
    void shouldEndOthersWhenOneFails() {
        inFlight.endAll("the process ends");
        assertEquals(List.of("the process ends"), calls);
    }
}
