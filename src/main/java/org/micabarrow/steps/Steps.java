package org.micabarrow.steps;

import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Work that goes on for as long as the process runs, step by step.
 *
 * <pre>{@code
 * Steps.start("report", 150, endpoint::refresh);
 * }</pre>
 */
public final class Steps {

    private static final Logger LOG = LoggerFactory.getLogger(Steps.class);

    private Steps() {}

    /** A step of the work of a thread. */
    @FunctionalInterface
    public interface Step {

        /**
         * Takes the step.
         *
         * @throws InterruptedException if the thread is to end
         */
        void take() throws InterruptedException;
    }

    /**
     * Takes a step again and again on a thread of its own, until that is interrupted.
     *
     * @param name the work's name, for the thread and the log
     * @param restMillis the rest after each step, in milliseconds
     * @param step the step
     * @return the running thread
     */
    public static Thread start(String name, long restMillis, Step step) {
        Objects.requireNonNull(step, "step is null");
        return Thread.ofPlatform().name(name).daemon().start(() -> run(name, restMillis, step));
    }

    private static void run(String name, long restMillis, Step step) {
        try {
            while (true) {
                step.take();
                Thread.sleep(restMillis);
            }
        } catch (InterruptedException e) {
            LOG.info("event=thread_stopped thread={}", name);
        }
    }
}
