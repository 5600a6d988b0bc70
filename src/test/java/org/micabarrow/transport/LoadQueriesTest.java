package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** What an entry keeps of the queries that it sends to agents. */
class LoadQueriesTest {

    /**
     * Longer than the timeout for a reply, and shorter than the delay that by itself indicates a slow link, in
     * milliseconds.
     */
    private static final long LATE_MILLIS = 300;

    /** The number of queries that are kept. */
    private static final int KEPT = 1_024;

    private final AtomicLong now = new AtomicLong(5_000);

    private XnioWorker worker;
    private XnioIoThread traffic;
    private LoadQueries queries;

    @BeforeEach
    void start() throws Exception {
        worker = HttpClient.worker("load-queries", 1);
        traffic = worker.getIoThread();
        queries = new LoadQueries(traffic, now::get);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    @Test
    void shouldNotifyOnceWhenReplyArrivesTwice() {
        List<Boolean> results = new ArrayList<>();
        CompletableFuture<List<Boolean>> done = new CompletableFuture<>();
        traffic.execute(() -> {
            int number = queries.nextNumber();
            queries.await(number, results::add);
            queries.onReply(number);
            queries.onReply(number);
            done.complete(List.copyOf(results));
        });
        assertEquals(List.of(true), done.join());
    }

    @Test
    void shouldReportMissingReplyWhenNoneArrives() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        traffic.execute(() -> queries.await(queries.nextNumber(), inTime::complete));
        assertFalse(inTime.join());
    }

    @Test
    void shouldReportMissingReplyWhenItIsReadAfterTimeout() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        traffic.execute(() -> {
            int number = queries.nextNumber();
            queries.await(number, inTime::complete);
            // Simulates a pause of the process, after which it reads the reply before it runs its timers.
            now.addAndGet(LATE_MILLIS);
            queries.onReply(number);
        });
        assertFalse(inTime.join());
    }

    @Test
    void shouldDiscardQueryWhenManyMoreWereSent() {
        int first = queries.nextNumber();
        now.incrementAndGet();
        int second = queries.nextNumber();
        assertEquals(OptionalLong.of(5_000), queries.sentMillis(first));
        assertEquals(OptionalLong.of(5_001), queries.sentMillis(second));
        for (int i = 1; i < KEPT; i++) {
            queries.nextNumber();
        }
        assertTrue(queries.sentMillis(first).isEmpty(), "the first is no longer kept");
        assertEquals(OptionalLong.of(5_001), queries.sentMillis(second), "the oldest that is kept");
    }

    @Test
    void shouldHaveNoTimeWhenQueryWasNotSent() {
        queries.nextNumber();
        assertTrue(queries.sentMillis(1).isEmpty());
        assertTrue(queries.sentMillis(-1).isEmpty());
    }
}
