package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BackoffTest {

    private final Backoff backoff = new Backoff();

    @Test
    void shouldAllowAnyNumberWhenNoBackoffWasRequested() {
        assertTrue(backoff.allows(1_000_000, 0));
        assertFalse(backoff.active(0));
        assertEquals(0, backoff.remainingMillis(0));
    }

    @Test
    void shouldAllowNothingUntilBackoffEnds() {
        backoff.requested(3_000, 100);
        assertFalse(backoff.allows(0, 3_099));
        assertEquals(1, backoff.remainingMillis(3_099));
        assertTrue(backoff.allows(0, 3_100));
    }

    @Test
    void shouldKeepLongerBackoffWhenShorterOneIsRequested() {
        backoff.requested(3_000, 0);
        backoff.requested(500, 1_000);
        assertTrue(backoff.active(2_999));
        backoff.requested(3_000, 2_000);
        assertTrue(backoff.active(4_999));
    }

    @Test
    void shouldDoubleLimitWithEachResponseWhenBackoffHasEnded() {
        backoff.requested(3_000, 0);
        backoff.responded(1_000);
        assertFalse(backoff.allows(1, 3_000), "a response during the backoff does not raise the limit");
        for (int limit = 1; limit <= 32; limit *= 2) {
            assertTrue(backoff.allows(limit - 1, 3_000));
            assertFalse(backoff.allows(limit, 3_000));
            backoff.responded(3_000);
        }
        assertTrue(backoff.allows(1_000_000, 3_000));
    }
}
