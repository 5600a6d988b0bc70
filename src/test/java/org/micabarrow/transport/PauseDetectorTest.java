package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {

    private final PauseDetector detector = new PauseDetector(150);

    @Test
    void shouldBeOnTimeWhenRoundsFollowEachOther() {
        assertTrue(detector.onTime(1_000));
        assertTrue(detector.onTime(1_150));
        assertTrue(detector.onTime(1_450));
    }

    @Test
    void shouldBeLateOnceWhenProcessWasPaused() {
        assertTrue(detector.onTime(1_000));
        assertFalse(detector.onTime(1_301));
        assertTrue(detector.onTime(1_451));
    }
}
