package org.micabarrow.views;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.platform.StoreRecords;

/** Processes that save and restore named weight versions in one store, and their clocks. */
abstract class VersionPersistenceFixture {

    final FakeKeyedStore store = new FakeKeyedStore();
    final AtomicBoolean primary = new AtomicBoolean(true);
    final AtomicLong monotonic = new AtomicLong(1_000_000);
    final AtomicLong unix = new AtomicLong(1_764_718_674_123L);

    static String named(String model, long version) {
        return FakeKeyedStore.named(model, version);
    }

    void writeNamedVersion(long version) {
        store.append(Topic.OPERATOR, "version/m", named("m", version));
    }

    /** A process that has read the operator records. */
    final class TestProcess {

        final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), monotonic::get, unix::get);
        final VersionPersistence persistence = new VersionPersistence(store, store, views, primary::get);
        final StoreFollower follower = new StoreFollower(
                Topic.OPERATOR,
                persistence,
                views,
                topic -> {},
                new StoreFollower.PollTiming(Duration.ofMillis(10), Duration.ofMillis(5)));

        TestProcess() {
            follower.readOnce();
        }

        /** The saved versions are read several times after startup. */
        void checkUntilNoLongerRead() {
            for (int i = 0; i < 40; i++) {
                persistence.check();
            }
        }

        /** Reads the record of a version that was just named. */
        void readNaming(long version) {
            writeNamedVersion(version);
            StoredRecord record = store.topics.get(Topic.OPERATOR).getLast();
            views.apply(Topic.OPERATOR, List.of(record), record.offset() + 1);
        }

        long newestVersion() {
            return views.view().newestTarget("m").map(View.Target::version).orElse(0L);
        }
    }

    void advance(long millis) {
        monotonic.addAndGet(millis);
        unix.addAndGet(millis);
    }

    long minVersion(TestProcess node) {
        return node.views.view().minVersion("m", 8_000, monotonic.get());
    }
}
