package org.micabarrow.serving;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.WaitQueue.Waiter;
import org.micabarrow.transport.HttpClient;
import org.xnio.XnioWorker;

/** Checks that the wait queue keeps being polled. */
class EntryWaitQueueTest {

    /** Limits only tests that hang. */
    private static final long TIMEOUT_SECONDS = 10;

    /** Throws on each attempt to start, and records when its wait has timed out. */
    private record Failing(CompletableFuture<Void> tried, CompletableFuture<Void> timedOut) implements Waiter {

        @Override
        public boolean tryStart() {
            tried.complete(null);
            throw new IllegalStateException("test failure");
        }

        @Override
        public void expired() {
            timedOut.complete(null);
        }
    }

    @Test
    void shouldKeepPollingWhenOnePollFails() throws Exception {
        XnioWorker worker = HttpClient.worker("wait-queue", 1);
        try {
            AtomicLong clockMillis = new AtomicLong();
            EntryWaitQueue queue = new EntryWaitQueue(clockMillis::get);
            Failing failing = new Failing(new CompletableFuture<>(), new CompletableFuture<>());
            worker.getIoThread().execute(() -> queue.join(0, 0, failing, worker.getIoThread()));
            failing.tried().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            clockMillis.incrementAndGet();
            failing.timedOut().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            worker.shutdownNow();
        }
    }
}
