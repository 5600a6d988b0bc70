package org.micabarrow.steps;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that repeated tasks continue after unexpected exceptions. */
class StepsTest {

    /** Only limits the time that a hanging test takes. */
    private static final Duration LONGEST = Duration.ofSeconds(10);

    /** More than one run, each of which fails. */
    private static final int STEPS = 3;

    /** How a run fails. */
    private enum Ending {
        EXCEPTION,
        ERROR;

        private void end() {
            switch (this) {
                case EXCEPTION -> throw new IllegalStateException("simulated failure");
                case ERROR -> throw new StackOverflowError("simulated failure");
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldGoOnWhenStepsFail(Ending ending) throws Exception {
        CountDownLatch taken = new CountDownLatch(STEPS);
        Thread work = Steps.start("steps-test", 1, () -> {
            taken.countDown();
            ending.end();
        });
        assertTrue(taken.await(LONGEST.toSeconds(), TimeUnit.SECONDS), "a failure ends only one run");
        work.interrupt();
        assertTrue(work.join(LONGEST));
    }

    @Test
    void shouldEndWhenInterruptedWithinStep() throws Exception {
        Thread work = Steps.start("steps-test", 1, () -> {
            throw new InterruptedException("the thread is to end");
        });
        assertTrue(work.join(LONGEST));
    }
}
