package org.micabarrow.command;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;

/**
 * Hands lines to a thread that writes them, so that whoever logs never waits for the reader of the output. Lines that find
 * the queue full are dropped and counted; once there is room again, or at the stop, one line tells how many were dropped.
 */
final class DroppingAppender extends AsyncAppender {

    /** How many lines may wait: some seconds of an entry's usual output, under a megabyte. */
    private static final int QUEUED_LINES = 1_024;

    /** How long lines that wait may be written for when the process stops, in milliseconds. */
    private static final int FLUSH_MILLIS = 300;

    /** Lines that a caller is about to put into the queue: the queue's own count doesn't hold them yet. */
    private final AtomicInteger reserved = new AtomicInteger();

    private final AtomicLong dropped = new AtomicLong();

    private DroppingAppender() {}

    /**
     * Starts an appender.
     *
     * @param context the context that it logs in
     * @param to what writes the lines
     * @return the started appender
     */
    static DroppingAppender start(LoggerContext context, Appender<ILoggingEvent> to) {
        DroppingAppender appender = new DroppingAppender();
        appender.setContext(context);
        appender.setQueueSize(QUEUED_LINES);
        appender.setDiscardingThreshold(0);
        appender.setNeverBlock(true);
        appender.setMaxFlushTime(FLUSH_MILLIS);
        appender.addAppender(appender.new Writer(to));
        appender.start();
        return appender;
    }

    @Override
    protected void append(ILoggingEvent event) {
        // Two places: the line may be preceded by the one that tells of lines dropped.
        int places = reserved.addAndGet(2);
        if (getRemainingCapacity() < places) {
            dropped.incrementAndGet();
        } else {
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                super.append(droppedLines(lost));
            }
            super.append(event);
        }
        reserved.addAndGet(-2);
    }

    /** The line that tells how many others were dropped. */
    private ILoggingEvent droppedLines(long lost) {
        ch.qos.logback.classic.Logger root = ((LoggerContext) getContext()).getLogger(Logger.ROOT_LOGGER_NAME);
        String message = "event=log_lines_dropped lines={} why=\"the output was not read fast enough\"";
        return new LoggingEvent(DroppingAppender.class.getName(), root, Level.WARN, message, null, new Object[] {lost});
    }

    /** Writes the lines, on the thread that takes them from the queue, and at its end tells of those dropped since. */
    private final class Writer extends AppenderBase<ILoggingEvent> {

        private final Appender<ILoggingEvent> to;

        private Writer(Appender<ILoggingEvent> to) {
            this.to = to;
            setContext(DroppingAppender.this.getContext());
            start();
        }

        @Override
        protected void append(ILoggingEvent event) {
            to.doAppend(event);
        }

        @Override
        public void stop() {
            long lost = dropped.getAndSet(0);
            if (lost > 0) {
                to.doAppend(droppedLines(lost));
            }
            to.stop();
            super.stop();
        }
    }
}
