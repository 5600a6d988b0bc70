package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests with which times of naming versions are saved, and when they are due after all processes have restarted. */
class SavedNamingTimeTest extends VersionPersistenceFixture {

    /** A running process observes that version 2 is named, and saves it. */
    private void saveObservedVersionTwo() {
        TestProcess running = new TestProcess();
        running.views.apply(
                Topic.OPERATOR,
                List.of(new StoredRecord("version/m", 3, named("m", 2).getBytes(StandardCharsets.UTF_8))),
                4);
        advance(400);
        running.persistence.check();
    }

    @Test
    void shouldCountTimeSinceNamingWhenProcessStartsWhileVersionIsDue() {
        saveObservedVersionTwo();
        advance(5_000);
        monotonic.set(70);
        TestProcess fresh = new TestProcess();
        assertEquals(0, minVersion(fresh));
        advance(2_700);
        assertEquals(2, minVersion(fresh), "8.1 s after the version was named");
    }

    /** Both versions are due at different times after all processes have restarted. */
    @Test
    void shouldCountTimeOfEarlierVersionWhenNewerOneWasNamedBeforeRestart() {
        TestProcess running = new TestProcess();
        running.readNaming(2);
        running.persistence.check();
        advance(2_800);
        running.readNaming(3);
        running.persistence.check();
        advance(1_000);
        monotonic.set(70);
        TestProcess fresh = new TestProcess();
        assertEquals(2, fresh.views.view().nextTarget("m", 1).orElseThrow().version());
        assertEquals(3, fresh.newestVersion());
        advance(8_000 - 3_800 + 10);
        assertEquals(2, minVersion(fresh), "8 s after version 2 was named");
        advance(2_800);
        assertEquals(3, minVersion(fresh));
    }

    /** The newer version is read before the earlier one was saved. */
    @Test
    void shouldSaveEarlierVersionWhenNewerOneFollowsAtOnce() {
        TestProcess running = new TestProcess();
        running.readNaming(2);
        advance(300);
        running.readNaming(3);
        running.persistence.check();
        TestProcess fresh = new TestProcess();
        assertEquals(2, fresh.views.view().nextTarget("m", 1).orElseThrow().version());
    }

    /** A process that goes on after a pause must not replace the time that another one saved. */
    @Test
    void shouldNotReplaceSavedTimeWhenItLearnedLate() {
        TestProcess paused = new TestProcess();
        paused.checkUntilNoLongerRead();
        saveObservedVersionTwo();
        advance(5_000);
        paused.readNaming(2);
        paused.persistence.check();
        assertEquals(1, store.writeCount);
        TestProcess fresh = new TestProcess();
        advance(2_700);
        assertEquals(2, minVersion(fresh), "8.1 s after the version was named");
    }

    @Test
    void shouldCountFromStartupWhenClockIsBehind() {
        saveObservedVersionTwo();
        unix.addAndGet(-9_000);
        TestProcess fresh = new TestProcess();
        advance(7_900);
        assertEquals(0, minVersion(fresh));
        advance(200);
        assertEquals(2, minVersion(fresh));
    }

    @Test
    void shouldNotSaveTimeOfNamingWhenNamingWasNotObserved() {
        writeNamedVersion(2);
        new TestProcess().persistence.check();
        advance(60_000);
        assertEquals(0, minVersion(new TestProcess()), "the time at which the version was named is unknown");
    }
}
