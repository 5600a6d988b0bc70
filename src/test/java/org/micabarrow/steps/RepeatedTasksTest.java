package org.micabarrow.steps;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Work that goes on whatever happens. */
class RepeatedTasksTest {

    /** Decides nothing but a hang. */
    private static final Duration LONGEST = Duration.ofSeconds(10);

    /** More steps than one, each with a fault. */
    private static final int STEPS = 3;

    /** What a fault of the program may end in. */
    private enum Ending {
        EXCEPTION,
        ERROR;

        private void end() {
            switch (this) {
                case EXCEPTION -> throw new IllegalStateException("a fault of the program");
                case ERROR -> throw new StackOverflowError("a fault of the program");
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldGoOnWhenStepsFail(Ending ending) throws Exception {
        CountDownLatch taken = new CountDownLatch(STEPS);
        Thread work = RepeatedTasks.start("steps-test", 1, () -> {
            taken.countDown();
            ending.end();
        });
        assertTrue(taken.await(LONGEST.toSeconds(), TimeUnit.SECONDS), "one fault costs one step");
        work.interrupt();
        assertTrue(work.join(LONGEST));
    }

    @Test
    void shouldEndWhenInterruptedWithinStep() throws Exception {
        Thread work = RepeatedTasks.start("steps-test", 1, () -> {
            throw new InterruptedException("the thread is to end");
        });
        assertTrue(work.join(LONGEST));
    }
}
