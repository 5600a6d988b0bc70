package org.micabarrow.serving;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.WaitQueue.Waiter;
import org.micabarrow.transport.HttpClient;
import org.xnio.XnioWorker;

/** When the line of requests that wait for room is looked through. */
class RoomLineTest {

    /** Decides nothing but a hang. */
    private static final long LONGEST_SECONDS = 10;

    /** Fails each time that room is looked for, and tells when its time is over. */
    private record Failing(CompletableFuture<Void> tried, CompletableFuture<Void> over) implements Waiter {

        @Override
        public boolean tryStart() {
            tried.complete(null);
            throw new IllegalStateException("a fault of the program");
        }

        @Override
        public void tooLate() {
            over.complete(null);
        }
    }

    @Test
    void shouldLookOnWhenOneLookFails() throws Exception {
        XnioWorker worker = HttpClient.worker("room-line", 1);
        try {
            AtomicLong clockMillis = new AtomicLong();
            RoomLine line = new RoomLine(clockMillis::get);
            Failing failing = new Failing(new CompletableFuture<>(), new CompletableFuture<>());
            worker.getIoThread().execute(() -> line.join(0, 0, failing, worker.getIoThread()));
            failing.tried().get(LONGEST_SECONDS, TimeUnit.SECONDS);
            clockMillis.incrementAndGet();
            failing.over().get(LONGEST_SECONDS, TimeUnit.SECONDS);
        } finally {
            worker.shutdownNow();
        }
    }
}
