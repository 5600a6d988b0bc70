package org.micabarrow.views;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/**
 * A fleet of 18 entries and 120 agents made 200 calls of the store a second, most of them agents' reads that found nothing. What
 * agents are told must neither cost them news nor keep them from the store when nobody tells.
 */
@Timeout(30)
class NewsReaderTest {

    private static final Duration HOLD = Duration.ofMillis(50);
    private static final String PEER = "10.0.0.1:8000";
    private static final String OTHER = "10.0.0.2:8000";
    private static final StoredRecord RECORD = new StoredRecord("config", 7, "{}".getBytes(StandardCharsets.UTF_8));

    private final AtomicLong now = new AtomicLong(1_000);
    private final List<String> asked = new ArrayList<>();
    private Result<Batch> told = Result.success(new Batch(List.of(RECORD), 8));

    private final TopicReader store = new TopicReader() {
        @Override
        public Result<Batch> newest(Topic topic) {
            asked.add("newest");
            return Result.success(new Batch(List.of(), 7));
        }

        @Override
        public Result<Read> read(Topic topic, long from, Duration wait) {
            asked.add("store");
            return Result.success(new Read.Records(new Batch(List.of(), from)));
        }
    };

    private final NewsReader reader = new NewsReader(
            store,
            (peer, topic, from) -> {
                asked.add(peer);
                return told;
            },
            now::get);

    private Batch read(long from) {
        return switch (reader.read(Topic.OPERATOR, from, Duration.ZERO)
                .toOptional()
                .orElseThrow()) {
            case Read.Records(Batch batch) -> batch;
            case Read.Expired ignored -> throw new AssertionError("expired");
        };
    }

    @Test
    void shouldReadStoreWhenNobodyTells() {
        read(7);
        assertEquals(List.of("store"), asked);
    }

    @Test
    void shouldAskNobodyWhenThereIsNoNews() {
        reader.told(PEER, new LastChanges(7, 90));
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldAskPeerThatKnowsMost() {
        reader.told(OTHER, new LastChanges(8, 0));
        reader.told(PEER, new LastChanges(9, 0));
        assertEquals(new Batch(List.of(RECORD), 8), read(7));
        assertEquals(List.of(PEER), asked);
    }

    @Test
    void shouldReadStoreWhenPeersFellSilent() {
        reader.told(PEER, new LastChanges(7, 0));
        now.addAndGet(1_000);
        read(7);
        assertEquals(List.of("store"), asked);
    }

    @Test
    void shouldReadStoreWhenPeerDoesNotAnswer() {
        told = Result.failure(Fault.of(Fault.Step.READ, PEER, Fault.Reason.TIMEOUT, "no answer"));
        reader.told(PEER, new LastChanges(8, 0));
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    /** It has not read all that came before, and says that the asker is to read on from where it is. */
    @Test
    void shouldReadStoreWhenPeerKnowsOnlyPart() {
        told = Result.success(new Batch(List.of(), 7));
        reader.told(PEER, new LastChanges(8, 0));
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    @Test
    void shouldNotAskPeerAgainWhenItDidNotGiveWhatItTold() {
        told = Result.success(new Batch(List.of(), 7));
        reader.told(PEER, new LastChanges(8, 0));
        reader.told(OTHER, new LastChanges(7, 0));
        read(7);
        read(7);
        assertEquals(List.of(PEER, "store"), asked);
    }

    /** The last a peer told counts, also if it is less: a peer that started again knows less at first. */
    @Test
    void shouldGoByWhatPeerToldLast() {
        reader.told(PEER, new LastChanges(8, 0));
        reader.told(PEER, new LastChanges(0, 0));
        assertEquals(new Batch(List.of(), 7), read(7));
        assertEquals(List.of(), asked);
    }

    @Test
    void shouldTellTopicsApart() {
        told = Result.success(new Batch(List.of(), 90));
        reader.told(PEER, new LastChanges(7, 90));
        reader.read(Topic.ENDPOINTS, 80, Duration.ZERO);
        assertEquals(List.of(PEER), asked);
    }

    @Test
    void shouldReadStoreAtStartAndForVersionsThatAreKept() {
        reader.told(PEER, new LastChanges(8, 8));
        reader.newest(Topic.OPERATOR);
        reader.newest(Topic.NAMED);
        assertEquals(List.of("newest", "newest"), asked);
    }

    @Test
    void shouldReadAtOnceWhenNewsIsToldWhileItWaits() throws Exception {
        reader.told(PEER, new LastChanges(7, 0));
        CompletableFuture<Read> waiting = CompletableFuture.supplyAsync(() ->
                reader.read(Topic.OPERATOR, 7, Duration.ofDays(1)).toOptional().orElseThrow());
        reader.told(PEER, new LastChanges(8, 0));
        assertEquals(new Read.Records(new Batch(List.of(RECORD), 8)), waiting.get(20, TimeUnit.SECONDS));
    }

    @Test
    void shouldEndWaitWhenItsTimeIsOver() {
        NewsReader onRealTime = new NewsReader(store, (peer, topic, from) -> told, () -> System.nanoTime() / 1_000_000);
        onRealTime.told(PEER, new LastChanges(7, 0));
        assertEquals(
                new Read.Records(new Batch(List.of(), 7)),
                onRealTime.read(Topic.OPERATOR, 7, HOLD).toOptional().orElseThrow());
    }
}
