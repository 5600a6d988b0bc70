package org.micabarrow.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Whoever logs never waits, and what is dropped is told. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DroppingAppenderTest {

    /** More lines than may wait. */
    private static final int LINES = 5_000;

    private final LoggerContext context = new LoggerContext();
    private final Logger logger = context.getLogger("test");
    private final Output output = new Output();

    /** An output whose reader reads nothing until it is told to. */
    private static final class Output extends AppenderBase<ILoggingEvent> {

        private final CountDownLatch read = new CountDownLatch(1);
        private final List<String> written = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            // An interrupt, by which the appender is stopped, must not cut this short: an output knows none either.
            while (read.getCount() > 0) {
                Thread.onSpinWait();
            }
            written.add(event.getFormattedMessage());
        }
    }

    private void begin() {
        context.setMDCAdapter(new LogbackMDCAdapter());
        output.setContext(context);
        output.start();
        logger.addAppender(DroppingAppender.start(context, output));
    }

    @Test
    void shouldDropAndTellWhenNobodyReads() {
        begin();
        for (int i = 0; i < LINES; i++) {
            logger.info("line {}", i);
        }
        output.read.countDown();
        while (output.written.size() < LINES / 10) {
            Thread.onSpinWait();
        }
        // There is room now, so the next line is preceded by one that tells.
        logger.info("after");
        context.stop();
        long dropped = output.written.stream()
                .filter(line -> line.startsWith("event=log_lines_dropped"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")))
                .sum();
        long kept =
                output.written.stream().filter(line -> line.startsWith("line ")).count();
        assertTrue(kept < LINES);
        assertTrue(dropped >= LINES - kept);
        assertEquals("line 0", output.written.getFirst());
    }

    @Test
    void shouldWriteWhatWaitsWhenProcessStops() {
        begin();
        output.read.countDown();
        for (int i = 0; i < 100; i++) {
            logger.info("line {}", i);
        }
        context.stop();
        assertEquals(100, output.written.size());
    }
}
