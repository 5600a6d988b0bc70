package org.micabarrow.coordination.configuration;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns all control state. Other threads hand it work and read what it publishes.
 *
 * <pre>{@code
 * control.execute(() -> state = next);
 * }</pre>
 */
public final class ControlThread implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

    private final ScheduledExecutorService executor;

    private ControlThread(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /**
     * Starts the thread.
     *
     * @param name the thread's name
     * @return the running thread
     */
    public static ControlThread start(String name) {
        Objects.requireNonNull(name, "name is null");
        return new ControlThread(Executors.newSingleThreadScheduledExecutor(work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        }));
    }

    /**
     * Runs work on the thread, after what was handed over before. Nothing happens once the thread has been closed.
     *
     * @param work the work
     */
    public void execute(Runnable work) {
        try {
            executor.execute(guarded(work));
        } catch (RejectedExecutionException e) {
            LOG.debug("work left out: the control thread is closed");
        }
    }

    /**
     * Runs work on the thread again and again.
     *
     * @param period the time from the end of one run to the start of the next
     * @param work the work
     */
    public void every(Duration period, Runnable work) {
        executor.scheduleWithFixedDelay(guarded(work), 0, period.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Runnable guarded(Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                LOG.error("control work failed", e);
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
