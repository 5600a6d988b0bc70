package org.micabarrow.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whoever logs never waits, and what is dropped is told. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DroppingAppenderTest {

    /** More lines than may wait. */
    private static final int LINES = 5_000;

    /** Callers that log at once. */
    private static final int THREADS = 8;

    private final LoggerContext context = new LoggerContext();
    private final Logger logger = context.getLogger("test");
    private final Output output = new Output();

    /** An output whose reader reads nothing until it is told to. */
    private static final class Output extends AppenderBase<ILoggingEvent> {

        private final CountDownLatch read = new CountDownLatch(1);
        private final CountDownLatch stopped = new CountDownLatch(1);
        private final Deque<String> written = new ConcurrentLinkedDeque<>();

        @Override
        protected void append(ILoggingEvent event) {
            // An interrupt, by which the appender is stopped, must not cut this short: an output knows none either.
            while (read.getCount() > 0) {
                Thread.onSpinWait();
            }
            written.add(event.getFormattedMessage());
        }

        @Override
        public void stop() {
            super.stop();
            stopped.countDown();
        }

        private long kept() {
            return written.stream().filter(line -> line.startsWith("line ")).count();
        }

        private long dropped() {
            return written.stream()
                    .filter(line -> line.startsWith("event=log_lines_dropped"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")))
                    .sum();
        }
    }

    private void begin() {
        context.setMDCAdapter(new LogbackMDCAdapter());
        output.setContext(context);
        output.start();
        logger.addAppender(DroppingAppender.start(context, output));
    }

    /** Stops what logs and waits for the thread that writes: the stop itself waits for it no longer than it may. */
    private void stop() throws InterruptedException {
        context.stop();
        output.stopped.await();
    }

    @Test
    void shouldDropAndTellWhenNobodyReads() throws InterruptedException {
        begin();
        for (int i = 0; i < LINES; i++) {
            logger.info("line {}", i);
        }
        output.read.countDown();
        // The first of these that finds room is preceded by the line that tells.
        long lines = LINES;
        while (output.dropped() == 0) {
            logger.info("line {}", lines++);
        }
        stop();
        assertTrue(output.kept() < LINES);
        assertEquals(lines, output.kept() + output.dropped());
        assertEquals("line 0", output.written.getFirst());
    }

    @Test
    void shouldTellAtStopWhenNoLineFollowedThoseDropped() throws InterruptedException {
        begin();
        for (int i = 0; i < LINES; i++) {
            logger.info("line {}", i);
        }
        output.read.countDown();
        stop();
        assertTrue(output.kept() < LINES);
        assertEquals(LINES, output.kept() + output.dropped());
    }

    @Test
    void shouldCountEachDroppedLineWhenManyThreadsLog() throws InterruptedException {
        begin();
        output.read.countDown();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            threads.add(Thread.ofPlatform().start(() -> {
                for (int line = 0; line < LINES; line++) {
                    logger.info("line {}", line);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        stop();
        assertEquals(THREADS * LINES, output.kept() + output.dropped());
    }

    @Test
    void shouldWriteWhatWaitsWhenProcessStops() throws InterruptedException {
        begin();
        output.read.countDown();
        for (int i = 0; i < 100; i++) {
            logger.info("line {}", i);
        }
        stop();
        assertEquals(100, output.written.size());
    }
}
