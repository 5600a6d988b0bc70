package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.standin.Ports;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.ViewKeeper;

/** What processes tell each other of the store's records while they read on. */
class HostedPeerServerTest {

    /** Enough that a pair taken at two moments shows: each answer is made while records are taken without a pause. */
    private static final int QUESTIONS = 200;

    private final ViewKeeper views = new ViewKeeper(new StoreRecords(), () -> 0);
    private final AtomicBoolean ends = new AtomicBoolean();

    /** Whoever asks reads on from the end, so that a record before it that is not told is never read. */
    @Test
    void shouldTellEveryRecordBeforeEndThatItTells() throws Exception {
        String address = Ports.freeAddress();
        HostedPeerServer server = new HostedPeerServer(
                views, (model, version) -> Optional.empty(), new MetricRegistry(), new LinkPacer(1e9, () -> 1));
        Thread follower = Thread.ofPlatform().daemon().start(this::takeRecords);
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Bounds.usual(), 1, Optional.empty(), server);
                HttpCaller caller = HttpCaller.start("test", 1)) {
            PeerRecords peers = new PeerRecords(caller);
            for (int i = 0; i < QUESTIONS; i++) {
                Batch batch = peers.ask(address, Topic.OPERATOR, 0).toOptional().orElseThrow();
                long last = batch.records().stream()
                        .mapToLong(StoredRecord::offset)
                        .max()
                        .orElse(-1);
                assertTrue(last >= batch.end() - 1, "told up to " + last + " and as the end " + batch.end());
            }
        } finally {
            ends.set(true);
            follower.join();
        }
    }

    private void takeRecords() {
        for (long offset = 0; !ends.get(); offset++) {
            views.apply(Topic.OPERATOR, List.of(new StoredRecord("key", offset, new byte[] {1})), offset + 1);
        }
    }
}
