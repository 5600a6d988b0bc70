package org.micabarrow.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BackoffTest {

    private final Backoff rest = new Backoff();

    @Test
    void shouldAllowAnyNumberWhenNeverAsked() {
        assertTrue(rest.allows(1_000_000, 0));
        assertFalse(rest.lasts(0));
        assertEquals(0, rest.leftMillis(0));
    }

    @Test
    void shouldAllowNothingUntilRestIsOver() {
        rest.asked(3_000, 100);
        assertFalse(rest.allows(0, 3_099));
        assertEquals(1, rest.leftMillis(3_099));
        assertTrue(rest.allows(0, 3_100));
    }

    @Test
    void shouldKeepLongerRestWhenShorterOneIsAskedFor() {
        rest.asked(3_000, 0);
        rest.asked(500, 1_000);
        assertTrue(rest.lasts(2_999));
        rest.asked(3_000, 2_000);
        assertTrue(rest.lasts(4_999));
    }

    @Test
    void shouldAllowTwiceAsManyWithEachAnswerWhenRestIsOver() {
        rest.asked(3_000, 0);
        rest.answered(1_000);
        assertFalse(rest.allows(1, 3_000), "an answer to what was sent before counts for nothing");
        for (int most = 1; most <= 32; most *= 2) {
            assertTrue(rest.allows(most - 1, 3_000));
            assertFalse(rest.allows(most, 3_000));
            rest.answered(3_000);
        }
        assertTrue(rest.allows(1_000_000, 3_000));
    }
}
