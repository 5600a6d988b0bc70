package org.micabarrow.steps;

import java.time.Duration;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread that is joined before the resources it uses are closed: closing it waits for it to end, so that it starts no
 * calls on connections or executors that are about to be closed.
 *
 * <pre>{@code
 * StoppableThread reader = new StoppableThread("configuration-reader", this::run);
 * reader.start();
 * }</pre>
 */
public final class StoppableThread implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StoppableThread.class);

    /**
     * The maximum time to wait for the thread to end. An interrupted call ends within some milliseconds; only work that
     * ignores interrupts takes longer, and it must not block the shutdown of the process.
     */
    private static final Duration MAX_JOIN_WAIT = Duration.ofSeconds(2);

    private final Thread thread;
    private volatile boolean closing;

    /**
     * Creates a thread that is not running yet.
     *
     * @param name the name of the thread
     * @param work the work, which checks {@link #isClosing} before each call and ends when it is interrupted
     */
    public StoppableThread(String name, Runnable work) {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(work, "work is null");
        this.thread = Thread.ofPlatform().name(name).daemon().unstarted(work);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Whether the work should end.
     *
     * @return whether {@link #close} was called or a pause was interrupted
     */
    public boolean isClosing() {
        return closing;
    }

    /**
     * Pauses the calling thread. An interrupt ends the pause and the work.
     *
     * @param duration the duration of the pause
     */
    public void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            closing = true;
            Thread.currentThread().interrupt();
        }
    }

    /** Signals the work to end, interrupts the thread and waits for it to end. */
    @Override
    public void close() {
        closing = true;
        if (thread.getState() == Thread.State.NEW) {
            return;
        }
        thread.interrupt();
        try {
            if (!thread.join(MAX_JOIN_WAIT)) {
                LOG.warn("event=thread_not_ended thread={} waitedMs={}", thread.getName(), MAX_JOIN_WAIT.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
