package org.micabarrow.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.micabarrow.Samples.WEIGHTS;
import static org.micabarrow.Samples.assistantOn;
import static org.micabarrow.Samples.declared;
import static org.micabarrow.Samples.plan;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.micabarrow.coordination.log.PlatformLog;
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Record;
import org.micabarrow.state.Result;

class ConfigurationFoldTest {

    private static PlatformLog.Entry entry(long offset, Record record) {
        return new PlatformLog.Entry(offset, offset, CanonicalJson.write(new Record.Envelope(Record.SCHEMA, record)));
    }

    private static Record draw(String id) {
        return new Record.OriginDrawn(id, 0, "nothing", "x", 1);
    }

    private static Fault stopped(FoldedState state, PlatformLog.Entry... entries) {
        return ConfigurationFold.fold(state, new PlatformLog.Page(0, List.of(entries)))
                .cause()
                .orElseThrow();
    }

    // -- what cannot be folded

    @Test
    void shouldStopAtGapAndNameIt() {
        Fault fault = stopped(FoldedState.empty(), entry(0, draw("a")), entry(2, draw("b")));
        assertTrue(fault.message().contains("offset 1: the record is missing"), fault.message());
    }

    @Test
    void shouldStopAtUnknownSchemaAndNameIt() {
        byte[] body = "{\"schema\":99,\"record\":{}}".getBytes(StandardCharsets.UTF_8);
        Fault fault = stopped(FoldedState.empty(), new PlatformLog.Entry(0, 0, body));
        assertTrue(fault.message().contains("offset 0: schema 99 is not known"), fault.message());
    }

    @Test
    void shouldStopAtUnreadableRecord() {
        byte[] body = "{\"schema\":1,\"record\":{\"type\":\"nonsense\"}}".getBytes(StandardCharsets.UTF_8);
        assertTrue(stopped(FoldedState.empty(), new PlatformLog.Entry(0, 0, body))
                .message()
                .contains("offset 0"));
    }

    @Test
    void shouldStopAtCheckpointThatDiffersFromFoldedRecords() {
        FoldedState state = assistantOn(2);
        FoldedState other = assistantOn(3);
        Record checkpoint = new Record.Checkpoint("k", other, other.digest());
        Fault fault = stopped(state, entry(state.offset() + 1, checkpoint));
        assertTrue(fault.message().contains("checkpoint differs"), fault.message());
    }

    @Test
    void shouldStopWhenLogBeginsLaterAndHoldsNoCheckpoint() {
        Fault fault = stopped(FoldedState.empty(), entry(5, draw("a")));
        assertTrue(fault.message().contains("the log begins at offset 5"), fault.message());
    }

    // -- checkpoints

    @Test
    void shouldGoOnFromCheckpointWhenOlderRecordsAreGone() {
        FoldedState state = assistantOn(2);
        Record checkpoint = new Record.Checkpoint("k", state, state.digest());
        PlatformLog.Page page = new PlatformLog.Page(
                state.offset() + 1,
                List.of(entry(state.offset() + 1, checkpoint), entry(state.offset() + 2, draw("a"))));
        FoldedState folded = ConfigurationFold.fold(FoldedState.empty(), page)
                .toOptional()
                .orElseThrow()
                .state();
        assertEquals(state.placements(), folded.placements());
        assertEquals(state.offset() + 2, folded.offset());
    }

    @Test
    void shouldTakeSecondCheckpointOfSameStateAsHarmless() {
        FoldedState state = assistantOn(2);
        Result<ConfigurationFold.Step> step = ConfigurationFold.fold(
                state,
                new PlatformLog.Page(
                        0,
                        List.of(
                                entry(state.offset() + 1, new Record.Checkpoint("k1", state, state.digest())),
                                entry(state.offset() + 2, new Record.Checkpoint("k2", state, state.digest())))));
        assertEquals(state.placements(), step.toOptional().orElseThrow().state().placements());
    }

    @Test
    void shouldLeaveOutRecordsThatWereFoldedBefore() {
        FoldedState state = assistantOn(2);
        PlatformLog.Page old = new PlatformLog.Page(
                0,
                List.of(entry(
                        0,
                        new Record.PlanProposed(
                                "again", plan(FoldedState.empty(), declared("assistant", WEIGHTS, 9, List.of()))))));
        assertEquals(
                state,
                ConfigurationFold.fold(state, old).toOptional().orElseThrow().state());
    }
}
