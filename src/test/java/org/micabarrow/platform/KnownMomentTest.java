package org.micabarrow.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.undertow.server.HttpServerExchange;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.micabarrow.platform.standin.HostedStoreStandin;
import org.micabarrow.standin.Ports;
import org.micabarrow.transport.HttpClient;
import org.micabarrow.transport.HttpListener;
import org.micabarrow.views.Topic;
import org.micabarrow.views.TopicReader.Batch;
import org.micabarrow.views.TopicReader.Read;

/** Up to which moment an answer of the store tells all that was written. */
class KnownMomentTest {

    private static final String OPERATOR = "keyed.op";
    private static final long SENT = 1_000;
    private static final Duration WAIT = Duration.ofMillis(50);

    private final HostedStoreStandin store = new HostedStoreStandin();
    private final AtomicLong clock = new AtomicLong(SENT);
    private OptionalLong attentiveUntil = OptionalLong.empty();
    private long answerMillis;
    private Optional<byte[]> answer = Optional.empty();
    private HttpClient caller;
    private HttpListener listener;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        caller = HttpClient.start("test", 1);
        String address = Ports.freeAddress();
        listener = HttpListener.start(address, HttpListener.Limits.defaults(), 1, Optional.empty(), this::answer);
        client =
                new StoreClient(caller, address, Duration.ofSeconds(30), clock::get, now -> attentiveUntil.orElse(now));
    }

    /** Lets time pass with each answer. */
    private void answer(HttpServerExchange exchange) {
        clock.addAndGet(answerMillis);
        answer.ifPresentOrElse(
                bytes -> exchange.getResponseSender().send(ByteBuffer.wrap(bytes)),
                () -> store.handleRequest(exchange));
    }

    @AfterEach
    void stop() {
        caller.close();
        listener.close();
    }

    private Batch read(long from, Duration wait) {
        Read read = client.read(Topic.OPERATOR, from, wait).toOptional().orElseThrow();
        return assertInstanceOf(Read.Records.class, read).batch();
    }

    @ParameterizedTest
    @CsvSource({"20", "50", "70"})
    void shouldKnowAllUntilItAskedWhenRecordsReachTheEnd(long millis) {
        store.append(OPERATOR, "a", "1");
        answerMillis = millis;
        assertEquals(OptionalLong.of(SENT), read(0, WAIT).asOfMillis());
    }

    @ParameterizedTest
    @CsvSource({"50", "70"})
    void shouldKnowAllUntilEndOfWaitWhenNothingCameInIt(long millis) {
        answerMillis = millis;
        assertEquals(OptionalLong.of(SENT + 50), read(0, WAIT).asOfMillis());
    }

    @Test
    void shouldKnowAllUntilItAskedWhenEmptyAnswerComesBeforeEndOfWait() {
        answerMillis = 49;
        assertEquals(OptionalLong.of(SENT), read(0, WAIT).asOfMillis());
    }

    /** A record that cannot be read is one that came all the same, and ended the wait. */
    @Test
    void shouldKnowAllUntilItAskedWhenOnlyUnreadableRecordCame() {
        store.appendRaw(OPERATOR, new byte[] {0});
        answerMillis = 70;
        assertEquals(OptionalLong.of(SENT), read(0, WAIT).asOfMillis());
    }

    /** The store breaks long answers off, and names the topic's end all the same. Two records come here. */
    @ParameterizedTest
    @CsvSource({"0, 3", "5, 8", "5, 100"})
    void shouldKnowNoMomentWhenAnswerBreaksOffBeforeTheEnd(long from, long end) {
        answer = Optional.of(twoRecords(end));
        assertEquals(from + 2, read(from, WAIT).end());
        assertEquals(OptionalLong.empty(), read(from, WAIT).asOfMillis());
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "5, 7"})
    void shouldKnowMomentWhenAnswerReachesTheEndFromAnOffset(long from, long end) {
        answer = Optional.of(twoRecords(end));
        assertEquals(OptionalLong.of(SENT), read(from, WAIT).asOfMillis());
    }

    private static byte[] twoRecords(long end) {
        ByteBuffer bytes = ByteBuffer.allocate(2 * Long.BYTES + 2 * (Integer.BYTES + 3));
        bytes.putLong(end).putLong(0);
        for (int i = 0; i < 2; i++) {
            bytes.putInt(3).put(new byte[] {1, 'a', '1'});
        }
        return bytes.array();
    }

    // -- when records were written

    private static final Duration LONG_WAIT = Duration.ofMillis(1_000);

    @Test
    void shouldKnowThatRecordWasWrittenJustNowWhenHeldReadIsAnswered() {
        store.append(OPERATOR, "a", "1");
        answerMillis = 600;
        assertEquals(OptionalLong.of(SENT + 600 - 150), read(0, LONG_WAIT).notBeforeMillis());
    }

    /** The answer waited for this process to go on. */
    @Test
    void shouldKnowThatRecordMayBeAsOldAsPauseWhenProcessWasPaused() {
        store.append(OPERATOR, "a", "1");
        answerMillis = 6_000;
        attentiveUntil = OptionalLong.of(SENT + 400);
        assertEquals(OptionalLong.of(SENT + 400 - 150), read(0, LONG_WAIT).notBeforeMillis());
    }

    @Test
    void shouldKnowThatRecordIsYoungerThanReadWhenProcessWasPausedBefore() {
        store.append(OPERATOR, "a", "1");
        answerMillis = 200;
        attentiveUntil = OptionalLong.of(SENT - 3_000);
        assertEquals(OptionalLong.of(SENT), read(0, LONG_WAIT).notBeforeMillis());
    }

    @ParameterizedTest
    @CsvSource({"149, 1000", "600, 0"})
    void shouldNotKnowWhenRecordWasWrittenWhenItMayHaveBeenThereBefore(long millis, long waitMillis) {
        store.append(OPERATOR, "a", "1");
        answerMillis = millis;
        assertEquals(
                OptionalLong.empty(), read(0, Duration.ofMillis(waitMillis)).notBeforeMillis());
    }

    @Test
    void shouldKnowAllUntilItAskedForFirstPageOfNewest() {
        store.setPageSize(1);
        store.append(OPERATOR, "a", "1");
        store.append(OPERATOR, "b", "1");
        store.append(OPERATOR, "c", "1");
        answerMillis = 10;
        Batch batch = client.readLatest(Topic.OPERATOR).toOptional().orElseThrow();
        assertEquals(3, batch.records().size());
        assertEquals(OptionalLong.of(SENT), batch.asOfMillis());
    }
}
