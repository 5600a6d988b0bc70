package org.micabarrow.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.state.FoldedState;

class ConfigurationTest {

    private final ControlThread control = ControlThread.start("test");
    private final Configuration configuration = new Configuration(control, new ManualClock());

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void shouldTellListenersBeforeThoseWhoWaitForTheGeneration() {
        FoldedState state = Samples.assistantOn(2);
        AtomicLong heard = new AtomicLong(-1);
        configuration.onStep(step -> heard.set(configuration.generation()));
        CompletableFuture<Long> seenByWaiter =
                configuration.reach(state.offset(), Duration.ofSeconds(30)).thenApply(reached -> heard.get());
        configuration
                .adopt(new ConfigurationReader.StateCopy(state, state.digest(), 0))
                .join();
        assertEquals(state.offset(), seenByWaiter.join());
    }

    @Test
    void shouldAnswerAtOnceWhenGenerationIsInForce() {
        FoldedState state = Samples.assistantOn(2);
        configuration
                .adopt(new ConfigurationReader.StateCopy(state, state.digest(), 0))
                .join();
        assertEquals(state, configuration.reach(0, Duration.ofSeconds(30)).join());
    }
}
