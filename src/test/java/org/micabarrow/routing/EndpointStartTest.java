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
    void shouldNameStartByShortToken() {
        assertEquals(OptionalInt.of(674_123), EndpointStart.token(STARTED.startedMillis()));
        assertEquals(OptionalInt.empty(), EndpointStart.token(OptionalLong.empty()));
    }

    @Test
    void shouldTellStartsApartByTheirTokens() {
        assertTrue(STARTED.mayBe(OptionalInt.of(674_123)));
        assertFalse(STARTED.mayBe(OptionalInt.of(674_124)));
    }

    @Test
    void shouldTakeEndpointThatDoesNotTellItsStartForOne() {
        assertTrue(STARTED.mayBe(OptionalInt.empty()), "its report does not tell it");
        assertTrue(EndpointStart.untold("a").mayBe(OptionalInt.of(5)), "its entry does not tell it");
    }
}
