package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SignalledThreadTest {

    private static final int SIGNALS = 5;

    private final AtomicInteger runs = new AtomicInteger();
    private final CountDownLatch begun = new CountDownLatch(1);
    private final Semaphore mayEnd = new Semaphore(0);
    private final Semaphore ended = new Semaphore(0);

    private void runTask() {
        runs.incrementAndGet();
        begun.countDown();
        mayEnd.acquireUninterruptibly();
        ended.release();
    }

    private void awaitEnd() throws InterruptedException {
        assertTrue(ended.tryAcquire(30, TimeUnit.SECONDS));
    }

    @Test
    void shouldRunOnceMoreWhenSignalledWhileRunning() throws Exception {
        SignalledThread thread = SignalledThread.start("test", this::runTask);
        thread.signal();
        begun.await();
        for (int i = 0; i < SIGNALS; i++) {
            thread.signal();
        }
        assertEquals(1, runs.get(), "signals returned while the task was running");
        mayEnd.release(2);
        awaitEnd();
        awaitEnd();
        assertEquals(2, runs.get());
    }

    @Test
    void shouldRunAgainWhenTaskFailed() throws Exception {
        SignalledThread thread = SignalledThread.start("test", () -> {
            runTask();
            throw new IllegalStateException("a task that fails");
        });
        mayEnd.release(2);
        thread.signal();
        awaitEnd();
        thread.signal();
        awaitEnd();
        assertEquals(2, runs.get());
    }
}
