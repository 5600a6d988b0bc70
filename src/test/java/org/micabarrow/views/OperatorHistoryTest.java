package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.state.Result;
import org.micabarrow.views.VersionPersistence.WriteRole;

/** Guards against an older version or manifest that is in force for good because it was written last and no process had saved the newer one. */
class OperatorHistoryTest {

    private static final String MODEL = "m";
    private static final long BOUND_MILLIS = 8_000;

    private final FakeKeyedStore store = new FakeKeyedStore();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final AtomicInteger questions = new AtomicInteger();

    /** What the origin answers; empty while it is away. */
    private Optional<Long> newestAtOrigin = Optional.empty();

    private final class Process {

        private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), clock::get, clock::get);
        private final VersionPersistence persistence;
        private final StoreFollower follower;

        private Process(WriteRole role) {
            persistence = new VersionPersistence(store, store, views, () -> role, () -> {}, this::askOrigin);
            follower = new StoreFollower(
                    Topic.OPERATOR,
                    persistence,
                    views,
                    topic -> {},
                    new StoreFollower.PollTiming(Duration.ZERO, Duration.ZERO));
            follower.readOnce();
        }

        private Result<Long> askOrigin(String model) {
            questions.incrementAndGet();
            return newestAtOrigin
                    .map(Result::success)
                    .orElseGet(() -> NewestVersionSource.none().newestVersion(model));
        }

        private void check(int times) {
            for (int i = 0; i < times; i++) {
                persistence.checkHistory();
                persistence.check();
            }
        }

        private long newestVersion() {
            return views.view().newestTarget(MODEL).map(View.Target::version).orElse(0L);
        }

        private long manifestVersion() {
            return views.view().manifest().orElseThrow().version();
        }

        private long minVersion() {
            return views.view().minVersion(MODEL, BOUND_MILLIS, clock.get());
        }
    }

    private void name(long version) {
        store.append(Topic.OPERATOR, "version/" + MODEL, FakeKeyedStore.named(MODEL, version));
    }

    private void writeManifest(long version) {
        store.append(Topic.OPERATOR, "config", "{\"version\":" + version + ",\"routes\":[],\"services\":[]}");
    }

    private Process started(WriteRole role) {
        return new Process(role);
    }

    /** Version 2 is known and saved; version 3 is named while nobody runs, and version 2 once more. */
    private void hideVersionThree() {
        writeManifest(1);
        name(2);
        started(WriteRole.PRIMARY).check(1);
        name(3);
        name(2);
    }

    // -- the history is there

    @ParameterizedTest
    @EnumSource
    void shouldLearnNamingThatNobodySavedWhenOlderOneWasWrittenLate(WriteRole role) {
        hideVersionThree();
        assertEquals(3, started(role).newestVersion());
    }

    @Test
    void shouldLearnNamingWhenNobodyHasSavedAnything() {
        name(3);
        name(2);
        assertEquals(3, started(WriteRole.NONE).newestVersion());
    }

    @Test
    void shouldSaveWhatHistoryShowed() {
        hideVersionThree();
        started(WriteRole.PRIMARY).check(1);
        store.historyExpired = true;
        assertEquals(3, started(WriteRole.NONE).newestVersion());
        assertEquals(0, questions.get());
    }

    @Test
    void shouldLearnManifestThatNobodySavedWhenOlderOneWasWrittenLate() {
        name(2);
        writeManifest(1);
        started(WriteRole.PRIMARY).check(1);
        writeManifest(3);
        writeManifest(1);
        assertEquals(3, started(WriteRole.NONE).manifestVersion());
    }

    /** A process that runs reads the latest records again when the history that it wants to go on from has expired. */
    @Test
    void shouldLearnNamingWhenRunningProcessReadsLatestRecordsAgain() {
        writeManifest(1);
        name(2);
        Process running = started(WriteRole.NONE);
        name(3);
        name(2);
        store.historyExpired = true;
        running.follower.readOnce();
        store.historyExpired = false;
        running.follower.readOnce();
        assertEquals(3, running.newestVersion());
    }

    @Test
    void shouldLearnNamingWhenStoreContinuesFromOlderCopyMeanwhile() {
        writeManifest(1);
        name(2);
        Process running = started(WriteRole.PRIMARY);
        running.check(1);
        store.restoreWithout(Topic.NAMED);
        name(3);
        name(2);
        running.follower.readOnce();
        running.follower.readOnce();
        assertEquals(3, running.newestVersion());
        assertEquals(3, started(WriteRole.NONE).newestVersion());
    }

    /** What has no order of its own is in force as it was written last. */
    @Test
    void shouldKeepHallInServiceWhenItsEvacuationEnded() {
        hideVersionThree();
        store.append(Topic.OPERATOR, "evacuate/a", "{}");
        store.append(Topic.OPERATOR, "evacuate/a", "");
        store.down = true;
        Process fresh = started(WriteRole.NONE);
        store.down = false;
        fresh.check(1);
        assertEquals(3, fresh.newestVersion());
        assertEquals(Set.of(), fresh.views.view().evacuatedHalls());
    }

    @Test
    void shouldExamineHistoryLaterWhenItsReadFails() {
        hideVersionThree();
        store.failReads = true;
        Process fresh = started(WriteRole.NONE);
        fresh.check(3);
        assertEquals(2, fresh.newestVersion(), "service goes on");
        store.failReads = false;
        fresh.check(1);
        assertEquals(3, fresh.newestVersion());
    }

    /** The saved records could not be read at the start, and with them up to where the history is known. */
    @Test
    void shouldReadOnlyWhatNobodyKnowsWhenSavedRecordsAreReadLater() {
        for (int version = 1; version <= 40; version++) {
            writeManifest(version);
        }
        name(2);
        started(WriteRole.PRIMARY).check(1);
        newestAtOrigin = Optional.of(2L);
        started(WriteRole.PRIMARY).check(2);
        name(3);
        name(2);
        store.down = true;
        Process fresh = started(WriteRole.NONE);
        store.down = false;
        store.operatorReads = 0;
        fresh.check(2);
        assertEquals(3, fresh.newestVersion());
        assertEquals(1, store.operatorReads);
    }

    // -- the history is gone

    @Test
    void shouldAskOriginWhenHistoryIsGone() {
        hideVersionThree();
        store.firstRetained = 3;
        newestAtOrigin = Optional.of(3L);
        Process primary = started(WriteRole.PRIMARY);
        Process entry = started(WriteRole.NONE);
        primary.check(2);
        assertEquals(3, primary.newestVersion());
        entry.check(4);
        assertEquals(3, entry.newestVersion(), "from what the other process saved");
        assertEquals(1, questions.get());
    }

    /** The version was named before the start, so the bound of older ones does not begin when the answer comes. */
    @Test
    void shouldCountBoundFromStartWhenOriginAnswersLate() {
        hideVersionThree();
        store.firstRetained = 3;
        Process primary = started(WriteRole.PRIMARY);
        primary.check(2);
        assertEquals(2, primary.newestVersion(), "service goes on");
        clock.addAndGet(BOUND_MILLIS - 1_000);
        newestAtOrigin = Optional.of(3L);
        primary.check(32);
        assertEquals(3, primary.newestVersion());
        assertEquals(0, primary.minVersion());
        clock.addAndGet(1_001);
        assertEquals(3, primary.minVersion());
    }

    /** Processes that do not ask the origin learn later still. */
    @Test
    void shouldCountBoundFromStartWhenVersionIsLearnedFromWhatOthersSaved() {
        hideVersionThree();
        store.firstRetained = 3;
        Process primary = started(WriteRole.PRIMARY);
        Process entry = started(WriteRole.NONE);
        primary.check(2);
        clock.addAndGet(BOUND_MILLIS + 1);
        newestAtOrigin = Optional.of(3L);
        primary.check(32);
        entry.check(4);
        assertEquals(3, entry.newestVersion());
        assertEquals(3, entry.minVersion());
    }

    @Test
    void shouldNotClaimToKnowHistoryWhileOriginIsAway() {
        hideVersionThree();
        store.firstRetained = 3;
        Process primary = started(WriteRole.PRIMARY);
        primary.check(2);
        writeManifest(2);
        primary.follower.readOnce();
        primary.check(40);
        assertTrue(store.topics.get(Topic.NAMED).stream()
                .anyMatch(record -> record.key().equals("manifest/2")));
        assertEquals(2, primary.views.savedReadTo().orElseThrow(), "as it was saved before");
        newestAtOrigin = Optional.of(3L);
        Process later = started(WriteRole.PRIMARY);
        later.check(16);
        assertEquals(3, later.newestVersion());
    }

    @Test
    void shouldLearnNamingWhenOnlyEarlierHistoryIsGone() {
        hideVersionThree();
        store.firstRetained = 1;
        assertEquals(3, started(WriteRole.NONE).newestVersion());
        assertEquals(0, questions.get());
    }

    // -- what it costs

    @Test
    void shouldReadNoHistoryWhenEverythingIsKnown() {
        for (int version = 1; version <= 40; version++) {
            writeManifest(version);
            name(version);
            started(WriteRole.PRIMARY).check(1);
        }
        store.operatorReads = 0;
        assertEquals(40, started(WriteRole.NONE).newestVersion());
        assertEquals(0, store.operatorReads);
    }

    @Test
    void shouldLeaveLongHistoryToThoseThatSaveVersions() {
        for (int version = 1; version <= 40; version++) {
            writeManifest(version);
        }
        name(3);
        name(2);
        Process entry = started(WriteRole.NONE);
        entry.check(40);
        assertEquals(0, store.operatorReads);
        newestAtOrigin = Optional.of(3L);
        started(WriteRole.PRIMARY).check(2);
        entry.check(4);
        assertEquals(3, entry.newestVersion());
    }

    /** Evacuations are not saved, and each process that starts would read them. */
    @Test
    void shouldStateHowFarHistoryIsKnownWhenNothingNeedsToBeSaved() {
        writeManifest(1);
        Process primary = started(WriteRole.PRIMARY);
        primary.check(1);
        for (int i = 0; i < 20; i++) {
            store.append(Topic.OPERATOR, "evacuate/a", i % 2 == 0 ? "{}" : "");
        }
        primary.follower.readOnce();
        primary.check(2);
        store.operatorReads = 0;
        Process fresh = started(WriteRole.NONE);
        assertEquals(0, store.operatorReads);
        assertEquals(1, fresh.manifestVersion());
        assertTrue(store.writeCount <= 3, () -> store.writeCount + " writes");
    }

    @Test
    void shouldSaveNoClaimWhenAnEarlierWriteFailed() {
        writeManifest(1);
        name(2);
        Process primary = started(WriteRole.PRIMARY);
        store.writesToRefuse = 1;
        primary.check(1);
        assertEquals(
                List.of("manifest/1"),
                store.topics.get(Topic.NAMED).stream().map(StoredRecord::key).toList());
        assertTrue(primary.views.savedReadTo().isEmpty());
        primary.check(1);
        assertEquals(2, primary.views.savedReadTo().orElseThrow());
    }

    /** Agents read no manifest that leaves services as they are. */
    @Test
    void shouldStateHowFarHistoryIsKnownToPeerThatReadsEverything() {
        writeManifest(1);
        Process agent = started(WriteRole.PRIMARY);
        agent.check(1);
        for (int version = 2; version <= 40; version++) {
            writeManifest(version);
        }
        agent.views.recordManifestPosition(new ManifestPosition(40, 39));
        agent.views.recordReadTo(0, 40);
        agent.check(1);
        store.operatorReads = 0;
        assertEquals(40, started(WriteRole.NONE).manifestVersion());
        assertEquals(0, store.operatorReads);
    }

    @Test
    void shouldNotClaimMoreThanWasReadWhenPeerKnowsAnotherVersion() {
        writeManifest(1);
        Process agent = started(WriteRole.PRIMARY);
        agent.views.recordReadTo(3, 4);
        agent.check(1);
        assertEquals(1, agent.views.savedReadTo().orElseThrow());
    }
}
