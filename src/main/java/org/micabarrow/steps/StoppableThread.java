package org.micabarrow.steps;

import java.time.Duration;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread that ends before what it works with is closed: whoever closes it waits for its end, so that it begins no call on
 * connections or executors that are about to stop.
 *
 * <pre>{@code
 * StoppableThread reader = new StoppableThread("configuration-reader", this::run);
 * reader.start();
 * }</pre>
 */
public final class StoppableThread implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StoppableThread.class);

    /**
     * How long the end is waited for. An interrupted call ends within some milliseconds, so that only work which passes over
     * interrupts takes longer, and a process that stops is not to hang on it.
     */
    private static final Duration LONGEST_END = Duration.ofSeconds(2);

    private final Thread thread;
    private volatile boolean closing;

    /**
     * Makes a thread, which does not run yet.
     *
     * @param name the thread's name
     * @param work the work, which looks at {@link #closing} before each call and ends when it is interrupted
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
     * Whether the work is to end.
     *
     * @return whether {@link #close} was called or a rest was interrupted
     */
    public boolean closing() {
        return closing;
    }

    /**
     * Rests on the thread; an interrupt ends the rest and the work.
     *
     * @param rest how long
     */
    public void rest(Duration rest) {
        try {
            Thread.sleep(rest);
        } catch (InterruptedException e) {
            closing = true;
            Thread.currentThread().interrupt();
        }
    }

    /** Tells the work to end, interrupts it and waits until it has ended. */
    @Override
    public void close() {
        closing = true;
        if (thread.getState() == Thread.State.NEW) {
            return;
        }
        thread.interrupt();
        try {
            if (!thread.join(LONGEST_END)) {
                LOG.warn("event=thread_not_ended thread={} waitedMs={}", thread.getName(), LONGEST_END.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
