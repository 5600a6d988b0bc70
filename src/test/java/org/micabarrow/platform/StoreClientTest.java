package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.standin.Ports;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.StoredRecord;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/** The contract with the platform's store, in its good and its bad answers. */
class StoreClientTest {

    private static final String OPERATOR = "keyed.op";

    /** So long that a busy machine is never taken for a silent store. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final HostedStoreStandin store = new HostedStoreStandin();
    private HttpClient caller;
    private final List<HttpListener> listeners = new ArrayList<>();
    private StoreClient client;
    private String address;

    @BeforeEach
    void start() throws Exception {
        caller = HttpClient.start("test", 1);
        client = serve(store);
    }

    private StoreClient serve(HttpHandler handler) {
        return serve(handler, TIMEOUT);
    }

    private StoreClient serve(HttpHandler handler, Duration within) {
        address = Ports.freeAddress();
        listeners.add(HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), handler));
        return new StoreClient(caller, address, within);
    }

    @AfterEach
    void stop() {
        caller.close();
        listeners.forEach(HttpListener::close);
    }

    // -- large answers

    /** How long the store may be silent here, in milliseconds. */
    private static final long SILENCE_MILLIS = 2_000;

    /** The pause between two of the 16 bytes of a slow answer, in milliseconds: twice the silence altogether. */
    private static final long PART_MILLIS = 250;

    /** Sends an answer without records, one part after the other. */
    private static void sendSlowly(HttpServerExchange exchange, ByteBuffer left) {
        ByteBuffer part = left.slice(left.position(), 1);
        left.position(left.position() + part.remaining());
        if (!left.hasRemaining()) {
            exchange.getResponseSender().send(part, IoCallback.END_EXCHANGE);
            return;
        }
        exchange.getResponseSender().send(part, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange same, Sender sender) {
                same.getIoThread().executeAfter(() -> sendSlowly(same, left), PART_MILLIS, TimeUnit.MILLISECONDS);
            }

            @Override
            public void onException(HttpServerExchange same, Sender sender, IOException e) {
                same.endExchange();
            }
        });
    }

    @Test
    void shouldWaitForLargeAnswerWhenItKeepsComing() throws Exception {
        StoreClient narrow = serve(
                exchange -> exchange.dispatch(
                        SameThreadExecutor.INSTANCE, () -> sendSlowly(exchange, ByteBuffer.allocate(2 * Long.BYTES))),
                Duration.ofMillis(SILENCE_MILLIS));
        Result<Read> read = narrow.read(Topic.OPERATOR, 0, Duration.ZERO);
        assertInstanceOf(Read.Records.class, read.toOptional().orElseThrow());
    }

    private static List<String> keys(Batch batch) {
        return batch.records().stream().map(StoredRecord::key).toList();
    }

    private Batch newest() {
        return client.readLatest(Topic.OPERATOR).toOptional().orElseThrow();
    }

    @Test
    void shouldReadNewestRecordOfEachKeyOverAllPages() {
        store.setPageSize(2);
        for (String key : List.of("a", "b", "c", "d", "e", "a")) {
            store.append(OPERATOR, key, "value of " + key);
        }
        store.append(OPERATOR, "b", "");
        Batch batch = newest();
        assertEquals(List.of("a", "c", "d", "e"), keys(batch));
        assertEquals(5, batch.records().getFirst().offset());
        assertEquals(7, batch.end());
    }

    @Test
    void shouldReadOnFromAnOffset() {
        store.append(OPERATOR, "a", "1");
        store.append(OPERATOR, "b", "2");
        Read read = client.read(Topic.OPERATOR, 1, Duration.ZERO).toOptional().orElseThrow();
        Batch batch = assertInstanceOf(Read.Records.class, read).batch();
        assertEquals(List.of("b"), keys(batch));
        assertEquals(1, batch.records().getFirst().offset());
        assertEquals(2, batch.end());
    }

    // -- a store that continues from an older copy

    private Result<Read> readFrom(long from) {
        return client.read(Topic.OPERATOR, from, Duration.ZERO);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 4})
    void shouldReadNewestRecordsAgainWhenStoreWasRestored(int writtenSince) {
        IntStream.range(0, 5).forEach(i -> store.append(OPERATOR, "a", "value " + i));
        long end = newest().end();
        store.restore(Map.of(OPERATOR, 3));
        IntStream.range(0, writtenSince).forEach(i -> store.append(OPERATOR, "b", "value " + i));
        assertInstanceOf(Read.Expired.class, readFrom(end).toOptional().orElseThrow());
        Batch batch = newest();
        assertEquals(EraOffset.of(1, 2 + writtenSince), batch.end());
        assertEquals(EraOffset.of(1, 1), batch.records().getFirst().offset());
        assertInstanceOf(Read.Records.class, readFrom(batch.end()).toOptional().orElseThrow());
    }

    @Test
    void shouldRejectAnswerOfEarlierEra() {
        store.append(OPERATOR, "a", "1");
        assertInstanceOf(Result.Failure.class, readFrom(EraOffset.of(1, 1)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "x", "32768", "99999999999999999999"})
    void shouldRejectAnswerWhenEraIsInvalid(String era) {
        StoreClient other = serve(exchange -> {
            exchange.getResponseHeaders().put(new HttpString("Store-Era"), era);
            exchange.getResponseSender().send(ByteBuffer.allocate(2 * Long.BYTES));
        });
        assertInstanceOf(Result.Failure.class, other.read(Topic.OPERATOR, 0, Duration.ZERO));
    }

    @Test
    void shouldReturnWrittenRecordsWithTheirEra() {
        store.restore(Map.of());
        KeyedWriter writer = new KeyedWriter(caller, address, OPERATOR, TIMEOUT);
        List<StoredRecord> written = writer.write(List.of(new StoredRecord("a", 0, new byte[] {1})))
                .toOptional()
                .orElseThrow();
        assertEquals(EraOffset.of(1, 0), written.getFirst().offset());
    }

    @Test
    void shouldReadDroppedKeyAsRecordWithoutValue() {
        store.append(OPERATOR, "a", "");
        Read read = client.read(Topic.OPERATOR, 0, Duration.ZERO).toOptional().orElseThrow();
        assertTrue(assertInstanceOf(Read.Records.class, read)
                .batch()
                .records()
                .getFirst()
                .isTombstone());
    }

    @Test
    void shouldAnswerEmptyWhenNothingComesInTime() {
        Read read = client.read(Topic.OPERATOR, 0, Duration.ofMillis(50))
                .toOptional()
                .orElseThrow();
        assertEquals(
                List.of(), assertInstanceOf(Read.Records.class, read).batch().records());
    }

    @Test
    void shouldSayExpiredWhenHistoryIsGone() {
        store.append(OPERATOR, "a", "1");
        store.append(OPERATOR, "a", "2");
        store.dropHistory(OPERATOR);
        Read read = client.read(Topic.OPERATOR, 0, Duration.ZERO).toOptional().orElseThrow();
        assertEquals(new Read.Expired(OptionalLong.of(2)), read);
        assertEquals(List.of("a"), keys(newest()));
    }

    @ParameterizedTest
    @ValueSource(ints = {429, 503, 500, 400})
    void shouldFailWhenStoreRefuses(int status) {
        store.setRefusalStatus(Optional.of(status));
        assertTrue(client.readLatest(Topic.OPERATOR).cause().isPresent());
        assertTrue(client.read(Topic.OPERATOR, 0, Duration.ZERO).cause().isPresent());
    }

    @Test
    void shouldFailInTimeWhenStoreIsSilent() {
        store.setUnresponsive(true);
        assertEquals(
                Fault.Reason.TIMEOUT,
                client.read(Topic.OPERATOR, 0, Duration.ZERO)
                        .cause()
                        .orElseThrow()
                        .reason());
    }

    /** Broken bodies: a head that is too short, a record that is cut, bytes after the last record, a length below 0. */
    @ParameterizedTest
    @CsvSource({
        "00000000",
        "00000000000000010000000000000000000000ff0161",
        "00000000000000010000000000000000000000010561",
        "00000000000000010000000000000000ffffffff"
    })
    void shouldFailWhenBodyIsBroken(String hex) throws Exception {
        stop();
        caller = HttpClient.start("test", 1);
        client = serve(exchange -> exchange.getResponseSender()
                .send(ByteBuffer.wrap(HexFormat.of().parseHex(hex)), IoCallback.END_EXCHANGE));
        Result<Read> read = client.read(Topic.OPERATOR, 0, Duration.ZERO);
        assertEquals(Fault.Reason.CORRUPT, read.cause().orElseThrow().reason());
    }

    /** Records that are none: without any byte, without a key, with a key longer than they are, with a key that is no text. */
    @ParameterizedTest
    @ValueSource(strings = {"", "00", "0561", "ff", "01ff7b7d"})
    void shouldPassOverRecordThatCannotBeReadAndCountItsOffset(String hex) {
        store.append(OPERATOR, "a", "1");
        store.appendRaw(OPERATOR, HexFormat.of().parseHex(hex));
        store.append(OPERATOR, "b", "2");
        Read read = client.read(Topic.OPERATOR, 0, Duration.ZERO).toOptional().orElseThrow();
        Batch batch = assertInstanceOf(Read.Records.class, read).batch();
        assertEquals(List.of("a", "b"), keys(batch));
        assertEquals(2, batch.records().getLast().offset());
        assertEquals(3, batch.end());
    }

    /** Items of the newest records that are none: of wrong types, without a part, with a value that is not base64. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "7",
                "null",
                "[]",
                "{}",
                "{\"private_key\":\"x\",\"offset\":1}",
                "{\"private_key\":\"x\",\"value\":\"e30=\"}",
                "{\"private_key\":\"x\",\"value\":\"e30=\",\"offset\":\"1\"}",
                "{\"private_key\":\"x\",\"value\":7,\"offset\":1}",
                "{\"private_key\":7,\"value\":\"e30=\",\"offset\":1}",
                "{\"private_key\":\"x\",\"value\":\"*\",\"offset\":1}"
            })
    void shouldPassOverNewestRecordThatCannotBeRead(String item) {
        String good = "{\"private_key\":\"%s\",\"value\":\"e30=\",\"offset\":%d}";
        String body = "{\"items\":[" + String.format(Locale.ROOT, good, "a", 0) + "," + item + ","
                + String.format(Locale.ROOT, good, "z", 2) + "],\"has_more\":false,\"end\":3}";
        StoreClient odd = serve(exchange -> exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE));
        Batch batch = odd.readLatest(Topic.OPERATOR).toOptional().orElseThrow();
        assertEquals(List.of("a", "z"), keys(batch));
        assertEquals(3, batch.end());
    }

    /** What is no page of newest records, or leaves open where the next one begins: taken for one, it would drop every key. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "null",
                "[]",
                "{}",
                "{\"items\":{},\"has_more\":false,\"end\":3}",
                "{\"items\":[],\"has_more\":false}",
                "{\"items\":[],\"has_more\":false,\"end\":\"3\"}",
                "{\"items\":[7],\"has_more\":true,\"end\":3}"
            })
    void shouldFailWhenAnswerIsNoPageOfNewestRecords(String body) {
        StoreClient odd = serve(exchange -> exchange.getResponseSender().send(body, IoCallback.END_EXCHANGE));
        assertEquals(
                Fault.Reason.CORRUPT,
                odd.readLatest(Topic.OPERATOR).cause().orElseThrow().reason());
    }

    @Test
    void shouldFailWhenTopicEndsBeforeWhatIsKnown() {
        ByteBuffer endsAtOne =
                ByteBuffer.allocate(2 * Long.BYTES).putLong(1).putLong(0).flip();
        StoreClient shorter = serve(exchange -> exchange.getResponseSender().send(endsAtOne, IoCallback.END_EXCHANGE));
        assertEquals(
                Fault.Reason.CORRUPT,
                shorter.read(Topic.OPERATOR, 9, Duration.ZERO)
                        .cause()
                        .orElseThrow()
                        .reason());
    }
}
