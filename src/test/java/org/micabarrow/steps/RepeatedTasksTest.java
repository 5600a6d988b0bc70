package org.micabarrow.steps;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that repeated tasks continue after unexpected exceptions. */
class RepeatedTasksTest {

    /** Only limits the time that a hanging test takes. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** More than one run, each of which fails. */
    private static final int RUNS = 3;

    /** How a run fails. */
    private enum Failure {
        EXCEPTION,
        ERROR;

        private void fail() {
            switch (this) {
                case EXCEPTION -> throw new IllegalStateException("simulated failure");
                case ERROR -> throw new StackOverflowError("simulated failure");
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldContinueWhenRunsFail(Failure failure) throws Exception {
        CountDownLatch runs = new CountDownLatch(RUNS);
        Thread work = RepeatedTasks.start("steps-test", 1, () -> {
            runs.countDown();
            failure.fail();
        });
        assertTrue(runs.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "a failure ends only one run");
        work.interrupt();
        assertTrue(work.join(TIMEOUT));
    }

    @Test
    void shouldEndWhenInterruptedDuringRun() throws Exception {
        Thread work = RepeatedTasks.start("steps-test", 1, () -> {
            throw new InterruptedException("the thread is to end");
        });
        assertTrue(work.join(TIMEOUT));
    }
}
