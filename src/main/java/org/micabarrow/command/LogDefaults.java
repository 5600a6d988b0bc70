package org.micabarrow.command;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.Logger;

/**
 * Sets up logging until a process has read its settings, and for operators' commands: only what needs attention. Reading
 * this from an XML file took a fifth of a start's processor time.
 */
public final class LogDefaults extends ContextAwareBase implements Configurator {

    private static final String PATTERN = "%-5level %logger{0} %msg%n";

    /** The configuration of tests, which Logback reads by itself. */
    private static final String TEST_CONFIGURATION = "logback-test.xml";

    /** Creates a configurator; called by Logback, which finds this class as a service. */
    public LogDefaults() {
        super();
    }

    @Override
    public ExecutionStatus configure(LoggerContext logging) {
        if (getClass().getClassLoader().getResource(TEST_CONFIGURATION) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(logging);
        encoder.setPattern(PATTERN);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(logging);
        appender.setTarget("System.err");
        appender.setEncoder(encoder);
        appender.start();
        ch.qos.logback.classic.Logger root = logging.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
        root.setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
