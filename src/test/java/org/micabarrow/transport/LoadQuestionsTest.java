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

/** What an entry remembers of the questions that it asks agents. */
class LoadQuestionsTest {

    /** Longer than an agent may take to answer, and shorter than what shows a slow link by itself, in milliseconds. */
    private static final long LATE_MILLIS = 300;

    /** As many as are remembered. */
    private static final int KEPT = 1_024;

    private final AtomicLong now = new AtomicLong(5_000);

    private XnioWorker worker;
    private XnioIoThread traffic;
    private LoadQuestions questions;

    @BeforeEach
    void start() throws Exception {
        worker = HttpClient.worker("load-questions", 1);
        traffic = worker.getIoThread();
        questions = new LoadQuestions(traffic, now::get);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    @Test
    void shouldTellOnceWhenAnswerComesTwice() {
        List<Boolean> told = new ArrayList<>();
        CompletableFuture<List<Boolean>> after = new CompletableFuture<>();
        traffic.execute(() -> {
            int number = questions.next();
            questions.await(number, told::add);
            questions.answered(number);
            questions.answered(number);
            after.complete(List.copyOf(told));
        });
        assertEquals(List.of(true), after.join());
    }

    @Test
    void shouldTellLossWhenNoAnswerComes() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        traffic.execute(() -> questions.await(questions.next(), inTime::complete));
        assertFalse(inTime.join());
    }

    @Test
    void shouldTellLossWhenAnswerIsReadOnlyAfterItsTime() {
        CompletableFuture<Boolean> inTime = new CompletableFuture<>();
        traffic.execute(() -> {
            int number = questions.next();
            questions.await(number, inTime::complete);
            // The process stood still, and reads the answer before it looks at its timers.
            now.addAndGet(LATE_MILLIS);
            questions.answered(number);
        });
        assertFalse(inTime.join());
    }

    @Test
    void shouldForgetQuestionWhenManyMoreWereAsked() {
        int first = questions.next();
        now.incrementAndGet();
        int second = questions.next();
        assertEquals(OptionalLong.of(5_000), questions.askedMillis(first));
        assertEquals(OptionalLong.of(5_001), questions.askedMillis(second));
        for (int i = 1; i < KEPT; i++) {
            questions.next();
        }
        assertTrue(questions.askedMillis(first).isEmpty(), "the first is forgotten");
        assertEquals(OptionalLong.of(5_001), questions.askedMillis(second), "the oldest that is kept");
    }

    @Test
    void shouldTellNoTimeWhenQuestionWasNotAsked() {
        questions.next();
        assertTrue(questions.askedMillis(1).isEmpty());
        assertTrue(questions.askedMillis(-1).isEmpty());
    }
}
