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

    private static RateLimitUpdate named(double perSecond, int millisAgo) {
        return new RateLimitUpdate(ENDPOINT, OptionalDouble.of(perSecond), millisAgo);
    }

    @Test
    void shouldPassOnWhatWasHeardLast() {
        relay.told(named(1, 50), NOW);
        relay.told(named(2, 100), NOW);
        assertEquals(Optional.of(named(1, 80)), relay.word(NOW + 30));
        relay.told(new RateLimitUpdate(ENDPOINT, OptionalDouble.empty(), 10), NOW);
        assertEquals(Optional.of(new RateLimitUpdate(ENDPOINT, OptionalDouble.empty(), 40)), relay.word(NOW + 30));
    }

    @Test
    void shouldPassNothingOnWhenNothingWasHeardForLong() {
        assertEquals(Optional.empty(), relay.word(NOW));
        relay.told(named(1, 0), NOW);
        assertEquals(Optional.empty(), relay.word(NOW + EndpointRateLimit.COUNTED_MILLIS + 1));
    }

    @Test
    void shouldTakeReportsThatNameNoLimitForAnEndOnlyWhenOneDidBefore() {
        relay.told(named(1, 0), NOW);
        relay.reported(OptionalDouble.empty(), NOW + 100);
        assertTrue(relay.word(NOW + 100).orElseThrow().perSecond().isPresent(), "reports need not name limits");
        relay.reported(OptionalDouble.of(2), NOW + 200);
        assertEquals(OptionalDouble.of(2), relay.word(NOW + 200).orElseThrow().perSecond());
        relay.reported(OptionalDouble.empty(), NOW + 300);
        assertFalse(relay.word(NOW + 300).orElseThrow().perSecond().isPresent());
    }

    @Test
    void shouldTellWhichEndpointWasHeard() {
        relay.told(named(1, 0), NOW);
        assertTrue(relay.word(NOW).orElseThrow().isOf("a"));
        assertFalse(relay.word(NOW).orElseThrow().isOf("b"), "another one at the same address");
        relay.reported(OptionalDouble.of(2), NOW + 1);
        assertTrue(relay.word(NOW + 1).orElseThrow().isOf("b"), "the agent reports of whichever is beside it");
    }
}
