package org.micabarrow.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.micabarrow.Samples.assistantOn;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.coordination.log.FakeLog;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;
import org.micabarrow.state.Verdict;

class RecordWriterTest {

    private static final Duration LONG = Duration.ofSeconds(30);

    private final FakeLog log = new FakeLog();
    private ControlThread control;
    private Configuration configuration;

    @BeforeEach
    void start() {
        control = ControlThread.start("test");
        configuration = new Configuration(control, InstantSource.system());
    }

    @AfterEach
    void stop() {
        control.close();
    }

    /** A log whose every append is also read back, as the reader thread would do. */
    private PlatformLog readBack() {
        return new PlatformLog() {
            @Override
            public Result<Long> append(String stream, byte[] body) {
                Result<Long> offset = log.append(stream, body);
                read(stream, configuration.generation() + 1, Duration.ZERO)
                        .toOptional()
                        .ifPresent(page -> configuration.offer(page).join());
                return offset;
            }

            @Override
            public Result<Page> read(String stream, long from, Duration wait) {
                return log.read(stream, from, wait);
            }
        };
    }

    private Result<FoldedState.RecordVerdict> write(String id, Duration within) {
        Record record = new Record.OriginDrawn(id, -1, "nothing", "x", 1);
        return new RecordWriter(readBack(), configuration, InstantSource.system()).write(record, within);
    }

    @Test
    void shouldFindRecordWhenAnswerIsLostAfterItTookEffect() {
        log.loseAnswers(1);
        FoldedState.RecordVerdict seen = write("a", LONG).toOptional().orElseThrow();
        assertEquals(0, seen.offset());
        assertEquals(1, log.appends());
    }

    @Test
    void shouldTellUnknownAndNotFailureWhenLogIsOut() {
        log.down(true);
        Fault fault = write("a", Duration.ofMillis(50)).cause().orElseThrow();
        assertEquals(Fault.Reason.UNKNOWN, fault.reason());
    }

    @Test
    void shouldGiveFirstVerdictWhenSameIdIsWrittenAgain() {
        FoldedState.RecordVerdict first = write("a", LONG).toOptional().orElseThrow();
        FoldedState.RecordVerdict second = write("a", LONG).toOptional().orElseThrow();
        assertEquals(first, second);
        assertInstanceOf(Verdict.Refused.class, second.verdict());
        assertEquals(
                List.of(0L, 1L),
                log.entries(PlatformLog.CONFIGURATION).stream()
                        .map(PlatformLog.Entry::offset)
                        .toList());
    }

    // -- starting without the log

    @Test
    void shouldTakeStateOfPeerWhenLogIsOutAtStart() {
        FoldedState state = assistantOn(2);
        log.down(true);
        ConfigurationReader reader = reader(state, state.digest());
        assertEquals(state, reader.readOnce().toOptional().orElseThrow());
        assertEquals(state.offset(), configuration.generation());
    }

    @Test
    void shouldStayClosedWhenPeersStateDoesNotHaveItsDigest() {
        log.down(true);
        ConfigurationReader reader = reader(assistantOn(2), "0".repeat(64));
        assertEquals(Optional.empty(), reader.readOnce().toOptional());
        assertEquals(false, configuration.known());
    }

    @Test
    void shouldNeverTakeLowerGeneration() {
        FoldedState newer = assistantOn(3);
        configuration
                .adopt(new ConfigurationReader.StateCopy(newer, newer.digest(), 0))
                .join();
        configuration
                .adopt(new ConfigurationReader.StateCopy(
                        FoldedState.empty(), FoldedState.empty().digest(), 0))
                .join();
        assertEquals(newer.offset(), configuration.generation());
    }

    private ConfigurationReader reader(FoldedState state, String digest) {
        ConfigurationReader.Peers peers = new ConfigurationReader.Peers() {
            @Override
            public Result<PlatformLog.Page> records(String address, long from, Duration wait) {
                return Result.failure(Fault.of(Fault.Step.LOG, address, Fault.Reason.UNREACHABLE, "none"));
            }

            @Override
            public Result<ConfigurationReader.StateCopy> state(String address) {
                return Result.success(new ConfigurationReader.StateCopy(state, digest, 0));
            }

            @Override
            public List<String> known() {
                return List.of("peer");
            }
        };
        return ConfigurationReader.unstarted(configuration, log, peers, List::of);
    }
}
