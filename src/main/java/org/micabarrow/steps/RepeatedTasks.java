package org.micabarrow.steps;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Work that goes on for as long as the process runs, step by step: a fault of the program costs one step and a line of the
 * log, not all steps that were to follow.
 *
 * <pre>{@code
 * RepeatedTasks.start("report", 150, endpoint::refresh);
 * }</pre>
 */
public final class RepeatedTasks {

    private static final Logger LOG = LoggerFactory.getLogger(RepeatedTasks.class);

    private RepeatedTasks() {}

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
        return start(name, () -> restMillis, step);
    }

    /**
     * Takes a step again and again on a thread of its own, until that is interrupted, and asks each time how long to rest.
     *
     * @param name the work's name, for the thread and the log
     * @param restMillis the rest after the step that was just taken, in milliseconds
     * @param step the step
     * @return the running thread
     */
    public static Thread start(String name, LongSupplier restMillis, Step step) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(restMillis, "restMillis is null");
        Objects.requireNonNull(step, "step is null");
        return Thread.ofPlatform().name(name).daemon().start(() -> run(name, restMillis, step));
    }

    /**
     * Takes one step of work that something else repeats.
     *
     * @param name the work's name, for the log
     * @param step the step
     */
    public static void guarded(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.error("event=step_failed work={}", name, e);
        }
    }

    private static void run(String name, LongSupplier restMillis, Step step) {
        try {
            while (true) {
                guarded(name, step);
                Thread.sleep(restMillis.getAsLong());
            }
        } catch (InterruptedException e) {
            LOG.info("event=thread_stopped thread={}", name);
        }
    }

    private static void guarded(String name, Step step) throws InterruptedException {
        try {
            step.take();
        } catch (RuntimeException | Error e) {
            LOG.error("event=step_failed work={}", name, e);
        }
    }
}
