package org.micabarrow.steps;

import java.util.Objects;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Repeats tasks for as long as the process runs. An unexpected exception fails a single run of a task and is logged;
 * later runs are not affected.
 *
 * <pre>{@code
 * RepeatedTasks.start("report", 150, endpoint::refresh);
 * }</pre>
 */
public final class RepeatedTasks {

    private static final Logger LOG = LoggerFactory.getLogger(RepeatedTasks.class);

    private RepeatedTasks() {}

    /** A task that is run repeatedly. */
    @FunctionalInterface
    public interface Task {

        /**
         * Runs the task once.
         *
         * @throws InterruptedException if the thread is to end
         */
        void run() throws InterruptedException;
    }

    /**
     * Runs a task repeatedly on a separate thread until the thread is interrupted.
     *
     * @param name the name of the task, for the thread and the log
     * @param pauseMillis the pause after each run, in milliseconds
     * @param task the task
     * @return the running thread
     */
    public static Thread start(String name, long pauseMillis, Task task) {
        return start(name, () -> pauseMillis, task);
    }

    /**
     * Runs a task repeatedly on a separate thread until the thread is interrupted, with a variable pause between runs.
     *
     * @param name the name of the task, for the thread and the log
     * @param pauseMillis returns the pause after the latest run, in milliseconds
     * @param task the task
     * @return the running thread
     */
    public static Thread start(String name, LongSupplier pauseMillis, Task task) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(pauseMillis, "pauseMillis is null");
        Objects.requireNonNull(task, "task is null");
        return Thread.ofPlatform().name(name).daemon().start(() -> runRepeatedly(name, pauseMillis, task));
    }

    /**
     * Runs a task that the caller repeats, and logs unexpected exceptions.
     *
     * @param name the name of the task, for the log
     * @param task the task
     */
    public static void runGuarded(String name, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("event=step_failed work={}", name, e);
        }
    }

    private static void runRepeatedly(String name, LongSupplier pauseMillis, Task task) {
        try {
            while (true) {
                runGuarded(name, task);
                Thread.sleep(pauseMillis.getAsLong());
            }
        } catch (InterruptedException e) {
            LOG.info("event=thread_stopped thread={}", name);
        }
    }

    private static void runGuarded(String name, Task task) throws InterruptedException {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("event=step_failed work={}", name, e);
        }
    }
}
