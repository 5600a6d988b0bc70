package org.micabarrow.process;

import java.util.Objects;
import java.util.concurrent.Semaphore;
import org.micabarrow.steps.RepeatedTasks;

/**
 * A thread that runs a task on request. Requests never block; those that arrive while the task runs cause one more run.
 */
final class SignalledThread {

    private final Semaphore signals = new Semaphore(0);
    private final Runnable task;

    private SignalledThread(Runnable task) {
        this.task = Objects.requireNonNull(task, "task is null");
    }

    /** Starts a thread that waits for the first signal. */
    static SignalledThread start(String name, Runnable task) {
        SignalledThread thread = new SignalledThread(task);
        RepeatedTasks.start(name, 0, thread::awaitSignalAndRun);
        return thread;
    }

    /** Requests a run of the task. */
    void signal() {
        signals.release();
    }

    private void awaitSignalAndRun() throws InterruptedException {
        signals.acquire();
        signals.drainPermits();
        task.run();
    }
}
