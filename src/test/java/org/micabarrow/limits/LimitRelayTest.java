package org.micabarrow.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class LimitRelayTest {

    private static final int ENDPOINT = LimitWord.token("a");
    private static final long NOW = 1_000_000;

    private final LimitRelay relay = new LimitRelay();

    private static LimitWord named(double perSecond, int millisAgo) {
        return new LimitWord(ENDPOINT, OptionalDouble.of(perSecond), millisAgo);
    }

    @Test
    void shouldPassOnNewestObservation() {
        relay.told(named(1, 50), NOW);
        relay.told(named(2, 100), NOW);
        assertEquals(Optional.of(named(1, 80)), relay.word(NOW + 30));
        relay.told(new LimitWord(ENDPOINT, OptionalDouble.empty(), 10), NOW);
        assertEquals(Optional.of(new LimitWord(ENDPOINT, OptionalDouble.empty(), 40)), relay.word(NOW + 30));
    }

    @Test
    void shouldPassNothingOnWhenObservationHasExpired() {
        assertEquals(Optional.empty(), relay.word(NOW));
        relay.told(named(1, 0), NOW);
        assertEquals(Optional.empty(), relay.word(NOW + EndpointLimit.COUNTED_MILLIS + 1));
    }

    @Test
    void shouldTreatReportWithoutLimitAsLiftedOnlyWhenPreviousReportHadOne() {
        relay.told(named(1, 0), NOW);
        relay.reported(OptionalDouble.empty(), NOW + 100);
        assertTrue(relay.word(NOW + 100).orElseThrow().perSecond().isPresent(), "reports need not state limits");
        relay.reported(OptionalDouble.of(2), NOW + 200);
        assertEquals(OptionalDouble.of(2), relay.word(NOW + 200).orElseThrow().perSecond());
        relay.reported(OptionalDouble.empty(), NOW + 300);
        assertFalse(relay.word(NOW + 300).orElseThrow().perSecond().isPresent());
    }

    @Test
    void shouldIdentifyEndpointOfObservation() {
        relay.told(named(1, 0), NOW);
        assertTrue(relay.word(NOW).orElseThrow().isOf("a"));
        assertFalse(relay.word(NOW).orElseThrow().isOf("b"), "another endpoint at the same address");
        relay.reported(OptionalDouble.of(2), NOW + 1);
        assertTrue(
                relay.word(NOW + 1).orElseThrow().isOf("b"),
                "a report concerns whichever endpoint is beside the agent");
    }
}
