package org.micabarrow.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Checks when the next part of a response counts as awaited. */
class ResponseStallTimerTest {

    private final AtomicLong now = new AtomicLong(1_000);
    private final AtomicInteger reads = new AtomicInteger();
    private final ResponseStallTimer timer = new ResponseStallTimer(now::get);

    @Test
    void shouldMeasureFromSendingWhenNothingArrived() {
        now.addAndGet(700);
        assertEquals(700, timer.waitingMillis());
    }

    @Test
    void shouldMeasureNothingWhileClientHasNotConsumedPart() {
        timer.onReceived(reads::incrementAndGet);
        now.addAndGet(9_000);
        assertEquals(0, timer.waitingMillis());
        assertEquals(0, reads.get());
    }

    @Test
    void shouldMeasureFromConsumptionWhenClientConsumedPart() {
        Runnable consumed = timer.onReceived(reads::incrementAndGet);
        now.addAndGet(9_000);
        consumed.run();
        now.addAndGet(300);
        assertEquals(300, timer.waitingMillis());
        assertEquals(1, reads.get());
    }
}
