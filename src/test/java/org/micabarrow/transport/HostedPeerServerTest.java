package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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
import org.micabarrow.state.CanonicalJson;
import org.micabarrow.state.Fault;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.NamingAccount;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.ViewMaintainer;

/** Which records of the store processes serve to each other while they read new ones, and the age that they state. */
class HostedPeerServerTest {

    /**
     * Enough to detect records and an end offset that were taken at different times: each response is created while new
     * records are applied continuously.
     */
    private static final int REQUESTS = 200;

    private final ViewMaintainer views = new ViewMaintainer(new StoreRecords(), () -> 0);
    private final AtomicBoolean stopped = new AtomicBoolean();

    /** A client continues from the end offset, so a record before it that the response lacks would never be read. */
    @Test
    void shouldServeEveryRecordBeforeStatedEnd() throws Exception {
        String address = Ports.freeAddress();
        HostedPeerServer server = new HostedPeerServer(
                views, (model, version) -> Optional.empty(), new MetricRegistry(), new LinkPacer(1e9, () -> 1));
        Thread writer = Thread.ofPlatform().daemon().start(this::applyRecords);
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), server);
                HttpClient client = HttpClient.start("test", 1)) {
            PeerRecordClient peers = new PeerRecordClient(client);
            for (int i = 0; i < REQUESTS; i++) {
                Batch batch =
                        peers.request(address, Topic.OPERATOR, 0).toOptional().orElseThrow();
                long lastOffset = batch.records().stream()
                        .mapToLong(StoredRecord::offset)
                        .max()
                        .orElse(-1);
                assertTrue(
                        lastOffset >= batch.end() - 1, "records up to " + lastOffset + " with the end " + batch.end());
            }
        } finally {
            stopped.set(true);
            writer.join();
        }
    }

    private void applyRecords() {
        for (long offset = 0; !stopped.get(); offset++) {
            views.apply(Topic.OPERATOR, List.of(new StoredRecord("key", offset, new byte[] {1})), offset + 1);
        }
    }

    // -- age of the records

    private static final long SENT_MILLIS = 5_000;
    private final AtomicLong peerClock = new AtomicLong(70_000);
    private final AtomicLong clientClock = new AtomicLong(SENT_MILLIS);

    /** Sends a request to a peer whose clock has a different origin. */
    private Batch request(Topic topic) throws Exception {
        HostedPeerServer server = new HostedPeerServer(
                views,
                (model, version) -> Optional.empty(),
                new MetricRegistry(),
                new LinkPacer(1e9, () -> 1),
                peerClock::get);
        return request(topic, server);
    }

    private Batch request(Topic topic, HttpHandler server) throws Exception {
        String address = Ports.freeAddress();
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), server);
                HttpClient client = HttpClient.start("test", 1)) {
            return new PeerRecordClient(client, clientClock::get)
                    .request(address, topic, 0)
                    .toOptional()
                    .orElseThrow();
        }
    }

    // -- when versions were named

    @Test
    void shouldTellWhenVersionsWereNamedOnClientsClock() throws Exception {
        String named = "{\"model\":\"m\",\"version\":2}";
        views.replace(Topic.OPERATOR, List.of(), 0);
        views.apply(
                Topic.OPERATOR,
                new Batch(
                        List.of(new StoredRecord("version/m", 0, named.getBytes(StandardCharsets.UTF_8))),
                        1,
                        OptionalLong.empty(),
                        OptionalLong.of(peerClock.get() - 250),
                        List.of()));
        assertEquals(
                List.of(new NamingAccount("m", 2, clientClock.get() - 250)),
                request(Topic.OPERATOR).accounts());
    }

    @Test
    void shouldSkipAccountWhenItIsIncomplete() throws Exception {
        String response = "{\"end\":1,\"records\":[],\"accounts\":[{\"model\":\"m\",\"version\":2},{\"version\":2,"
                + "\"notBeforeMsAgo\":3},{\"model\":\"m\",\"version\":2,\"notBeforeMsAgo\":-3},7]}";
        Batch batch =
                request(Topic.OPERATOR, exchange -> exchange.getResponseSender().send(response));
        assertEquals(List.of(), batch.accounts());
        assertEquals(1, batch.end());
    }

    // -- eras of the store

    private Batch request(long from) throws Exception {
        String address = Ports.freeAddress();
        HostedPeerServer server = new HostedPeerServer(
                views, (model, version) -> Optional.empty(), new MetricRegistry(), new LinkPacer(1e9, () -> 1));
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), server);
                HttpClient client = HttpClient.start("test", 1)) {
            return new PeerRecordClient(client)
                    .request(address, Topic.OPERATOR, from)
                    .toOptional()
                    .orElseThrow();
        }
    }

    @Test
    void shouldServeRecordsWithTheirEras() throws Exception {
        StoredRecord record = new StoredRecord("key", EraOffset.of(2, 4), new byte[] {1});
        views.replace(Topic.OPERATOR, List.of(record), EraOffset.of(2, 5));
        Batch whole = request(900);
        assertEquals(EraOffset.of(2, 5), whole.end());
        assertEquals(EraOffset.of(2, 4), whole.records().getFirst().offset());
        assertEquals(List.of(), request(EraOffset.of(2, 5)).records());
    }

    /** A client of a build that knows no eras sends and reads offsets without them. */
    @Test
    void shouldServeRecordsOfItsEraWhenClientKnowsNone() throws Exception {
        StoredRecord first = new StoredRecord("a", EraOffset.of(2, 4), new byte[] {1});
        StoredRecord second = new StoredRecord("b", EraOffset.of(2, 9), new byte[] {1});
        views.replace(Topic.OPERATOR, List.of(first), EraOffset.of(2, 5));
        views.apply(Topic.OPERATOR, List.of(second), EraOffset.of(2, 10));
        String address = Ports.freeAddress();
        HostedPeerServer server = new HostedPeerServer(
                views, (model, version) -> Optional.empty(), new MetricRegistry(), new LinkPacer(1e9, () -> 1));
        try (HttpListener listener =
                        HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), server);
                HttpClient client = HttpClient.start("test", 1)) {
            URI uri = URI.create("http://" + address + "/records?topic=OPERATOR&from=5");
            byte[] body = client.call(HttpCall.get(Fault.Step.READ, uri), Duration.ofSeconds(10))
                    .toOptional()
                    .orElseThrow()
                    .body();
            JsonNode json = CanonicalJson.mapper().readTree(body);
            assertEquals(10, json.path("end").asLong());
            assertEquals(1, json.path("records").size());
            assertEquals(9, json.path("records").get(0).path("offset").asLong());
        }
    }

    /** The peer's knowledge is from before its response, and its response from after the request. */
    @Test
    void shouldSubtractStatedAgeFromTimeOfRequest() throws Exception {
        views.confirmOperator(views.end(Topic.OPERATOR), peerClock.get() - 300);
        assertEquals(OptionalLong.of(SENT_MILLIS - 300), request(Topic.OPERATOR).asOfMillis());
    }

    @Test
    void shouldCountFromRequestWhenResponseTakesLong() throws Exception {
        views.confirmOperator(views.end(Topic.OPERATOR), peerClock.get());
        HostedPeerServer server = new HostedPeerServer(
                views,
                (model, version) -> Optional.empty(),
                new MetricRegistry(),
                new LinkPacer(1e9, () -> 1),
                peerClock::get);
        Batch batch = request(Topic.OPERATOR, exchange -> {
            clientClock.addAndGet(900);
            server.handleRequest(exchange);
        });
        assertEquals(OptionalLong.of(SENT_MILLIS), batch.asOfMillis());
    }

    @Test
    void shouldHaveNoTimeWhenPeerKnowsNone() throws Exception {
        assertEquals(OptionalLong.empty(), request(Topic.OPERATOR).asOfMillis());
    }

    @Test
    void shouldHaveNoTimeWhenOtherTopicIsRequested() throws Exception {
        views.confirmOperator(views.end(Topic.OPERATOR), peerClock.get());
        assertEquals(OptionalLong.empty(), request(Topic.ENDPOINTS).asOfMillis());
        assertEquals(OptionalLong.empty(), request(Topic.NAMED).asOfMillis());
    }

    /** A peer of an older build states no age. An invalid age must not make its records appear newer than the request. */
    @ParameterizedTest
    @ValueSource(
            strings = {"", ",\"knownMsAgo\":-1", ",\"knownMsAgo\":\"5\"", ",\"knownMsAgo\":0.5", ",\"knownMsAgo\":1e30"
            })
    void shouldHaveNoTimeWhenStatedAgeIsMissingOrInvalid(String field) throws Exception {
        String body = "{\"end\":3,\"records\":[]" + field + "}";
        Batch batch =
                request(Topic.OPERATOR, exchange -> exchange.getResponseSender().send(body));
        assertEquals(3, batch.end());
        assertEquals(OptionalLong.empty(), batch.asOfMillis());
    }
}
