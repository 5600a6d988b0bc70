package org.micabarrow.clock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests until when a process has handled what reached it, with pauses. */
class PauseMonitorTest {

    private static final long MAX_GAP_MILLIS = 150;
    private static final long TICK_MILLIS = 50;

    private final PauseMonitor monitor = new PauseMonitor(MAX_GAP_MILLIS, 0);

    private void tickUntil(long fromMillis, long untilMillis) {
        for (long now = fromMillis; now <= untilMillis; now += TICK_MILLIS) {
            monitor.tick(now);
        }
    }

    @Test
    void shouldBeAttentiveNowWhenProcessRuns() {
        tickUntil(0, 1_000);
        assertEquals(1_030, monitor.attentiveUntil(1_030));
        assertEquals(1_150, monitor.attentiveUntil(1_150));
    }

    @Test
    void shouldBeAttentiveUntilLastTickWhenNoTickFollowedPauseYet() {
        tickUntil(0, 1_000);
        assertEquals(1_000, monitor.attentiveUntil(7_000));
    }

    /** What arrived during the pause may not have been read by the first tick after it. */
    @Test
    void shouldBeAttentiveUntilPauseWhenItHasOnlyJustEnded() {
        tickUntil(0, 1_000);
        assertEquals(6_000, monitor.tick(7_000));
        assertEquals(1_000, monitor.attentiveUntil(7_000));
        monitor.tick(7_050);
        assertEquals(1_000, monitor.attentiveUntil(7_149));
        monitor.tick(7_100);
        assertEquals(7_150, monitor.attentiveUntil(7_150));
        monitor.tick(7_150);
        assertEquals(7_160, monitor.attentiveUntil(7_160));
    }

    @Test
    void shouldBeAttentiveUntilFirstPauseWhenAnotherFollowsAtOnce() {
        tickUntil(0, 1_000);
        monitor.tick(3_000);
        monitor.tick(5_000);
        assertEquals(1_000, monitor.attentiveUntil(5_100));
    }

    @Test
    void shouldRefuseGapThatIsNotPositive() {
        assertThrows(IllegalArgumentException.class, () -> new PauseMonitor(0, 0));
    }
}
