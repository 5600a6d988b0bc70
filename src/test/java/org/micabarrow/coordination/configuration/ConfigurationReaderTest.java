package org.micabarrow.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.coordination.HeldUp;
import org.micabarrow.coordination.log.FakeLog;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/**
 * A process closes its connections and executors right after its reader. A reader that was still in a call then began the
 * next one, at another relay or the log, on executors that had stopped, and its thread ended by an exception.
 */
class ConfigurationReaderTest {

    private final HeldUp held = new HeldUp();
    private final FakeLog log = new FakeLog();
    private final ControlThread control = ControlThread.start("control");
    private final Configuration configuration = new Configuration(control, InstantSource.system());

    @AfterEach
    void stop() {
        control.close();
    }

    private static Set<Thread> readers() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("configuration-reader"))
                .collect(Collectors.toSet());
    }

    @Test
    void shouldHaveEndedAndBeginNoCallWhenClosed() throws InterruptedException {
        Set<Thread> others = readers();
        ConfigurationReader reader =
                ConfigurationReader.start(configuration, log, heldUpPeers(), () -> List.of("one", "two", "three"));
        held.awaitBegun();
        Set<Thread> own = readers();
        own.removeAll(others);
        assertEquals(1, own.size());
        reader.close();
        boolean runsOn = own.stream().anyMatch(Thread::isAlive);
        held.ownerHasClosed();
        assertFalse(runsOn, "the reader runs on");
        assertEquals(1, held.calls(), "calls begun");
        assertEquals(0, held.callsAfterClose(), "calls begun after the close");
    }

    private ConfigurationReader.Peers heldUpPeers() {
        return new ConfigurationReader.Peers() {
            @Override
            public Result<PlatformLog.Page> records(String address, long from, Duration wait) {
                held.call();
                return none(address);
            }

            @Override
            public Result<ConfigurationReader.StateCopy> state(String address) {
                held.call();
                return none(address);
            }

            @Override
            public List<String> known() {
                return List.of("peer");
            }
        };
    }

    private static <T> Result<T> none(String address) {
        return Result.failure(Fault.of(Fault.Step.LOG, address, Fault.Reason.UNREACHABLE, "none"));
    }
}
