package org.micabarrow.bench;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;

/** Disables logging, so that in-process entries and agents do not write into a benchmark's output. */
final class BenchLogging {

    private BenchLogging() {}

    static void disable() {
        if (LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.OFF);
        }
    }
}
