package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.StoreRecords;
import org.micabarrow.standin.Ports;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.ViewMaintainer;

/** What processes tell each other of the store's records while they read on, and how old it is. */
class HostedPeerServerTest {

    /** Enough that a pair taken at two moments shows: each answer is made while records are taken without a pause. */
    private static final int QUESTIONS = 200;

    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), () -> 0);
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
                HttpClient caller = HttpClient.start("test", 1)) {
            PeerRecordClient peers = new PeerRecordClient(caller);
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

    // -- how old it is

    private static final long ASKED = 5_000;
    private final AtomicLong peerClock = new AtomicLong(70_000);
    private final AtomicLong askersClock = new AtomicLong(ASKED);

    /** Asks a peer whose clock began elsewhere. */
    private Batch ask(Topic topic) throws Exception {
        HostedPeerServer server = new HostedPeerServer(
                views,
                (model, version) -> Optional.empty(),
                new MetricRegistry(),
                new LinkPacer(1e9, () -> 1),
                peerClock::get);
        return ask(topic, server);
    }

    private Batch ask(Topic topic, HttpHandler server) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Bounds.usual(), 1, Optional.empty(), server);
                HttpClient caller = HttpClient.start("test", 1)) {
            return new PeerRecordClient(caller, askersClock::get)
                    .ask(address, topic, 0)
                    .toOptional()
                    .orElseThrow();
        }
    }

    /** The peer knew it before it answered, and answered after it was asked. */
    @Test
    void shouldKnowAllUntilItAskedLessAgeOfPeersKnowledge() throws Exception {
        views.confirmOperator(peerClock.get() - 300);
        assertEquals(OptionalLong.of(ASKED - 300), ask(Topic.OPERATOR).asOfMillis());
    }

    @Test
    void shouldCountFromQuestionWhenAnswerTakesLong() throws Exception {
        views.confirmOperator(peerClock.get());
        HostedPeerServer server = new HostedPeerServer(
                views,
                (model, version) -> Optional.empty(),
                new MetricRegistry(),
                new LinkPacer(1e9, () -> 1),
                peerClock::get);
        Batch batch = ask(Topic.OPERATOR, exchange -> {
            askersClock.addAndGet(900);
            server.handleRequest(exchange);
        });
        assertEquals(OptionalLong.of(ASKED), batch.asOfMillis());
    }

    @Test
    void shouldKnowOfNoMomentWhenPeerKnowsNone() throws Exception {
        assertEquals(OptionalLong.empty(), ask(Topic.OPERATOR).asOfMillis());
    }

    @Test
    void shouldKnowOfNoMomentWhenOtherTopicIsAskedFor() throws Exception {
        views.confirmOperator(peerClock.get());
        assertEquals(OptionalLong.empty(), ask(Topic.ENDPOINTS).asOfMillis());
        assertEquals(OptionalLong.empty(), ask(Topic.NAMED).asOfMillis());
    }

    /** A peer of an older build does not say; a wrong age must not make what it knows look newer than the question. */
    @ParameterizedTest
    @ValueSource(
            strings = {"", ",\"knownMsAgo\":-1", ",\"knownMsAgo\":\"5\"", ",\"knownMsAgo\":0.5", ",\"knownMsAgo\":1e30"
            })
    void shouldKnowOfNoMomentWhenPeerDoesNotSayOrAbsurdly(String field) throws Exception {
        String body = "{\"end\":3,\"records\":[]" + field + "}";
        Batch batch =
                ask(Topic.OPERATOR, exchange -> exchange.getResponseSender().send(body));
        assertEquals(3, batch.end());
        assertEquals(OptionalLong.empty(), batch.asOfMillis());
    }
}
