package org.micabarrow.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.micabarrow.Await;
import org.micabarrow.crashes.CrashRegistry;
import org.micabarrow.crashes.CrashUpdate;
import org.micabarrow.crashes.EndpointCrash;
import org.micabarrow.crashes.RequestDigest;
import org.micabarrow.platform.CrashRecords;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.StoredRecord;

/** What a process writes again when a restored store lacks its crash records. */
class CrashSharingTest {

    private static final String TOPIC = "keyed.micabarrow.crashes";
    private static final long MEMORY_MILLIS = 30_000;
    private static final CrashUpdate UPDATE =
            new CrashUpdate.Crashed(new EndpointCrash("endpoint-1", Set.of(), Set.of()));

    private final AtomicLong unix = new AtomicLong(1_764_718_674_123L);
    private final HostedStoreStandin store = new HostedStoreStandin();
    private HttpClient client;
    private HttpListener listener;
    private CrashRecords records;
    private CrashRegistry registry;
    private CrashSharing sharing;

    @BeforeEach
    void start() {
        String address = Ports.freeAddress();
        listener = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), store);
        client = HttpClient.start("test", 1);
        records = new CrashRecords(client, address, Duration.ofSeconds(10), "entry-a");
        registry = new CrashRegistry(MEMORY_MILLIS, 100, () -> 4);
        sharing = new CrashSharing(records, registry, MEMORY_MILLIS, unix::get, unix::get);
        sharing.start();
        sharing.publish(UPDATE);
        Await.until("the crash is in the store", () -> store.recordCount(TOPIC) == 1);
    }

    @AfterEach
    void stop() {
        client.close();
        listener.close();
    }

    private StoredRecord stored(CrashUpdate update, long offset) {
        StoredRecord record = records.record(update, unix.get());
        return new StoredRecord(record.key(), offset, record.value());
    }

    /** A restored store gives out again what was read before. */
    @Test
    void shouldNotClearLaterCrashesWhenClearingIsReadAgain() {
        RequestDigest request = new RequestDigest("ab".repeat(16));
        CrashUpdate cleared = new CrashUpdate.Cleared(request, true);
        CrashUpdate crashed = new CrashUpdate.Crashed(new EndpointCrash("endpoint-2", Set.of(request), Set.of()));
        StoredRecord clearing = stored(cleared, 3);
        sharing.apply(List.of(clearing));
        unix.addAndGet(1_000);
        sharing.apply(List.of(stored(crashed, 4)));
        sharing.apply(List.of(new StoredRecord(clearing.key(), EraOffset.of(1, 3), clearing.value())));
        assertEquals(1, registry.cleared(request, false), "the crash that followed the clearing counts");
    }

    private StoredRecord lost() {
        return CrashRecords.tombstone(records.record(UPDATE, 0).key());
    }

    @Test
    void shouldWriteCrashAgainWhenRestoredStoreLacksIt() {
        store.restore(Map.of(TOPIC, 1));
        sharing.apply(List.of(lost()));
        Await.until("the crash is in the store again", () -> store.recordCount(TOPIC) == 1);
    }

    @Test
    void shouldLeaveCrashesOfOthersToThem() {
        CrashRecords other = new CrashRecords(client, Ports.freeAddress(), Duration.ofSeconds(10), "entry-b");
        sharing.apply(List.of(CrashRecords.tombstone(other.record(UPDATE, 0).key())));
        CrashUpdate next = new CrashUpdate.Crashed(new EndpointCrash("endpoint-2", Set.of(), Set.of()));
        sharing.publish(next);
        // Records are written in the order in which they are queued, so a wrong one would be in the store by then.
        Await.until(
                "the next crash is in the store",
                () -> store.containsKey(TOPIC, records.record(next, 0).key()));
        assertEquals(2, store.recordCount(TOPIC));
    }
}
