package org.micabarrow.coordination.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.micabarrow.ManualClock;
import org.micabarrow.Samples;
import org.micabarrow.state.FoldedState;
import org.micabarrow.state.Instance;
import org.micabarrow.state.Record;
import org.micabarrow.state.Replica;

/** What entries write on their own, and when. */
class DutiesTest {

    private static final long REPAIR_MILLIS = 1_000;
    private static final long CHECKPOINT_MILLIS = 60_000;

    private final ManualClock clock = new ManualClock();
    private final FoldedState state = Samples.assistantOn(3);
    private final Replica lost =
            state.activePlacement("assistant").orElseThrow().replicas().getFirst();

    private Duties duties(String entry) {
        return new Duties(entry, REPAIR_MILLIS, CHECKPOINT_MILLIS, () -> "id", clock);
    }

    /** The list with two entries, without the lost instance if so wanted. */
    private List<Instance> listed(boolean withLost) {
        List<Instance> listed = new ArrayList<>(Samples.instances(3));
        listed.removeIf(instance -> !withLost && instance.id().equals(lost.instance()));
        listed.add(new Instance("entry-1", "norte", "norte-a", "e1", Instance.ENTRY, 0, false));
        listed.add(new Instance("entry-2", "norte", "norte-a", "e2", Instance.ENTRY, 0, false));
        return listed;
    }

    private List<Record> repairs(Duties duties, boolean stillListed, boolean silent) {
        return duties.repairs(state, listed(stillListed), instance -> silent && instance.equals(lost.instance()));
    }

    // -- repairs

    @Test
    void shouldReplaceOnlyAfterSilenceAndAbsenceHaveLasted() {
        Duties one = duties("entry-1");
        Duties other = duties("entry-2");
        assertTrue(repairs(one, false, true).isEmpty()
                && repairs(other, false, true).isEmpty());
        clock.advance(3 * REPAIR_MILLIS);
        repairs(one, false, true);
        repairs(other, false, true);
        clock.advance(REPAIR_MILLIS + 1);
        List<Record> all = new ArrayList<>(repairs(one, false, true));
        all.addAll(repairs(other, false, true));
        assertTrue(all.size() <= 1, "one entry does it");
    }

    @Test
    void shouldReplaceNothingThatIsListedOrHeard() {
        for (int i = 0; i < 20; i++) {
            assertTrue(repairs(duties("entry-1"), true, true).isEmpty());
            assertTrue(repairs(duties("entry-1"), false, false).isEmpty());
            clock.advance(REPAIR_MILLIS);
        }
    }

    @Test
    void shouldReplaceInTheSameHallWhereItCan() {
        List<Instance> alone = new ArrayList<>(listed(false));
        alone.removeIf(instance -> instance.id().equals("entry-2"));
        Duties duties = duties("entry-1");
        duties.repairs(state, alone, lost.instance()::equals);
        clock.advance(REPAIR_MILLIS);
        Record.ReplicaReplaced record = assertInstanceOf(
                Record.ReplicaReplaced.class,
                duties.repairs(state, alone, lost.instance()::equals).getFirst());
        assertEquals(lost.instance(), record.lost());
        assertEquals(lost.hall(), record.replacement().hall());
    }

    // -- checkpoints

    @Test
    void shouldWriteCheckpointWhenOneIsDueAndOnlyByTheFirstEntry() {
        Configuration.View view =
                new Configuration.View(state, List.of(), Optional.empty(), clock.millis(), clock.millis());
        assertTrue(duties("entry-1").checkpoint(view, listed(true)).isEmpty());
        clock.advance(CHECKPOINT_MILLIS);
        long written = List.of("entry-1", "entry-2").stream()
                .filter(entry -> duties(entry).checkpoint(view, listed(true)).isPresent())
                .count();
        assertEquals(1, written);
    }
}
