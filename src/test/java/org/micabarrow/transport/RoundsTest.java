package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RoundsTest {

    private final Rounds rounds = new Rounds(150);

    @Test
    void shouldBeOnTimeWhenRoundsFollowOneAnother() {
        assertTrue(rounds.onTime(1_000));
        assertTrue(rounds.onTime(1_150));
        assertTrue(rounds.onTime(1_450));
    }

    @Test
    void shouldNotBeOnTimeOnceWhenProcessStoodStill() {
        assertTrue(rounds.onTime(1_000));
        assertFalse(rounds.onTime(1_301));
        assertTrue(rounds.onTime(1_451));
    }
}
