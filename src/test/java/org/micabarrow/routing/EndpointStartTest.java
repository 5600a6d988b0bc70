package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class EndpointStartTest {

    private static final EndpointStart STARTED = new EndpointStart("a", OptionalLong.of(1_764_718_674_123L));

    @Test
    void shouldIdentifyStartByShortToken() {
        assertEquals(OptionalInt.of(674_123), EndpointStart.token(STARTED.startedMillis()));
        assertEquals(OptionalInt.empty(), EndpointStart.token(OptionalLong.empty()));
    }

    @Test
    void shouldDistinguishStartsByTheirTokens() {
        assertTrue(STARTED.mayHaveToken(OptionalInt.of(674_123)));
        assertFalse(STARTED.mayHaveToken(OptionalInt.of(674_124)));
    }

    @Test
    void shouldMatchAnyTokenWhenStartTimeIsUnknown() {
        assertTrue(STARTED.mayHaveToken(OptionalInt.empty()), "the report does not identify the start");
        assertTrue(
                EndpointStart.ofUnknownTime("a").mayHaveToken(OptionalInt.of(5)),
                "the registration does not state the start time");
    }
}
