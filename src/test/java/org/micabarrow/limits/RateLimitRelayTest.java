package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class RateLimitRelayTest {

    private static final int ENDPOINT = RateLimitUpdate.token("a");
    private static final long NOW = 1_000_000;

    private final RateLimitRelay relay = new RateLimitRelay();

    private static RateLimitUpdate stated(double perSecond, int millisAgo) {
        return new RateLimitUpdate(ENDPOINT, OptionalDouble.of(perSecond), millisAgo);
    }

    @Test
    void shouldPassOnNewestObservation() {
        relay.received(stated(1, 50), NOW);
        relay.received(stated(2, 100), NOW);
        assertEquals(Optional.of(stated(1, 80)), relay.update(NOW + 30));
        relay.received(new RateLimitUpdate(ENDPOINT, OptionalDouble.empty(), 10), NOW);
        assertEquals(Optional.of(new RateLimitUpdate(ENDPOINT, OptionalDouble.empty(), 40)), relay.update(NOW + 30));
    }

    @Test
    void shouldPassNothingOnWhenObservationHasExpired() {
        assertEquals(Optional.empty(), relay.update(NOW));
        relay.received(stated(1, 0), NOW);
        assertEquals(Optional.empty(), relay.update(NOW + EndpointRateLimit.EXPIRY_MILLIS + 1));
    }

    @Test
    void shouldTreatReportWithoutLimitAsLiftedOnlyWhenPreviousReportHadOne() {
        relay.received(stated(1, 0), NOW);
        relay.reported(OptionalDouble.empty(), NOW + 100);
        assertTrue(relay.update(NOW + 100).orElseThrow().perSecond().isPresent(), "reports need not state limits");
        relay.reported(OptionalDouble.of(2), NOW + 200);
        assertEquals(OptionalDouble.of(2), relay.update(NOW + 200).orElseThrow().perSecond());
        relay.reported(OptionalDouble.empty(), NOW + 300);
        assertFalse(relay.update(NOW + 300).orElseThrow().perSecond().isPresent());
    }

    @Test
    void shouldIdentifyEndpointOfObservation() {
        relay.received(stated(1, 0), NOW);
        assertTrue(relay.update(NOW).orElseThrow().concerns("a"));
        assertFalse(relay.update(NOW).orElseThrow().concerns("b"), "another endpoint at the same address");
        relay.reported(OptionalDouble.of(2), NOW + 1);
        assertTrue(
                relay.update(NOW + 1).orElseThrow().concerns("b"),
                "a report concerns whichever endpoint is beside the agent");
    }
}
