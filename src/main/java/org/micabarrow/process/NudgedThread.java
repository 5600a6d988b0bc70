package org.micabarrow.process;

import java.util.Objects;
import java.util.concurrent.Semaphore;
import org.micabarrow.steps.RepeatedTasks;

/**
 * A thread that takes a step whenever it is nudged. Whoever nudges it never waits; nudges that come while the step is held up
 * lead to one more.
 */
final class NudgedThread {

    private final Semaphore nudges = new Semaphore(0);
    private final Runnable step;

    private NudgedThread(Runnable step) {
        this.step = Objects.requireNonNull(step, "step is null");
    }

    /** Starts a thread. */
    static NudgedThread start(String name, Runnable step) {
        NudgedThread nudged = new NudgedThread(step);
        RepeatedTasks.start(name, 0, nudged::takeStep);
        return nudged;
    }

    /** Asks for a step. */
    void nudge() {
        nudges.release();
    }

    private void takeStep() throws InterruptedException {
        nudges.acquire();
        nudges.drainPermits();
        step.run();
    }
}
