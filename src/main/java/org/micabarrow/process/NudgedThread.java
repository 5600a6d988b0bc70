package org.micabarrow.process;

import java.util.Objects;
import java.util.concurrent.Semaphore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread that takes a step whenever it is nudged. Whoever nudges it never waits; nudges that come while the step is held up
 * lead to one more.
 */
final class NudgedThread {

    private static final Logger LOG = LoggerFactory.getLogger(NudgedThread.class);

    private final Semaphore nudges = new Semaphore(0);
    private final String name;
    private final Runnable step;

    private NudgedThread(String name, Runnable step) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.step = Objects.requireNonNull(step, "step is null");
    }

    /** Starts a thread. */
    static NudgedThread start(String name, Runnable step) {
        NudgedThread nudged = new NudgedThread(name, step);
        Thread.ofPlatform().name(name).daemon().start(nudged::takeSteps);
        return nudged;
    }

    /** Asks for a step. */
    void nudge() {
        nudges.release();
    }

    private void takeSteps() {
        try {
            while (true) {
                nudges.acquire();
                nudges.drainPermits();
                takeStep();
            }
        } catch (InterruptedException e) {
            LOG.info("event=thread_stopped thread={}", name);
        }
    }

    private void takeStep() {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warn("event=step_failed thread={}", name, e);
        }
    }
}
