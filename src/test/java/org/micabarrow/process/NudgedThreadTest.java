package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Whoever nudges a thread does not wait for its step. */
class NudgedThreadTest {

    private static final int NUDGES = 5;

    private final AtomicInteger taken = new AtomicInteger();
    private final CountDownLatch begun = new CountDownLatch(1);
    private final Semaphore mayEnd = new Semaphore(0);
    private final Semaphore ended = new Semaphore(0);

    private void step() {
        taken.incrementAndGet();
        begun.countDown();
        mayEnd.acquireUninterruptibly();
        ended.release();
    }

    private void awaitEnd() throws InterruptedException {
        assertTrue(ended.tryAcquire(30, TimeUnit.SECONDS));
    }

    @Test
    void shouldTakeOneMoreStepWhenNudgedWhileOneIsHeldUp() throws Exception {
        NudgedThread thread = NudgedThread.start("test", this::step);
        thread.nudge();
        begun.await();
        for (int i = 0; i < NUDGES; i++) {
            thread.nudge();
        }
        assertEquals(1, taken.get(), "the nudges came back while the step was held up");
        mayEnd.release(2);
        awaitEnd();
        awaitEnd();
        assertEquals(2, taken.get());
    }

    @Test
    void shouldGoOnWhenStepFails() throws Exception {
        NudgedThread thread = NudgedThread.start("test", () -> {
            step();
            throw new IllegalStateException("a step that fails");
        });
        mayEnd.release(2);
        thread.nudge();
        awaitEnd();
        thread.nudge();
        awaitEnd();
        assertEquals(2, taken.get());
    }
}
