package org.micabarrow.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.micabarrow.settings.Common;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up logging as the settings ask. */
final class Logs {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %logger{0} %msg%n";

    private Logs() {}

    static void setUp(Common.Logging logging) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        Encoder<ILoggingEvent> encoder = logging.format().equals("json") ? json(context) : text(context);
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(DroppingAppender.start(context, appender));
        root.setLevel(Level.WARN);
        context.getLogger("org.micabarrow").setLevel(Level.toLevel(logging.level()));
    }

    /** Writes what still waits; nothing is logged after this. */
    static void finish() {
        ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
    }

    private static Encoder<ILoggingEvent> text(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> json(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.start();
        return encoder;
    }
}
