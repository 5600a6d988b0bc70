package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.LoadMessages.Answer;
import org.micabarrow.transport.LoadMessages.Question;
import org.micabarrow.transport.LoadMessages.ReaderNews;
import org.micabarrow.transport.LoadMessages.Received;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.ManifestPosition;

class LoadMessagesTest {

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void shouldTellWhatEndpointDoes(boolean loading, boolean leaving) throws IOException {
        LoadReport told = new LoadReport(3, 8, loading, 7, 5, OptionalInt.of(9), leaving);
        assertEquals(
                told,
                LoadMessages.answer(bytes(LoadMessages.write(new Answer(17, told))))
                        .told());
    }

    @Test
    void shouldReadQuestionWhenWritten() throws IOException {
        Question question = new Question("entry-a", 1_200, 17, 30);
        assertEquals(question, LoadMessages.question(bytes(LoadMessages.write(question))));
    }

    @Test
    void shouldReadNewsOfStoreWhenQuestionTellsThem() throws IOException {
        StoreUpdate news = new StoreUpdate(
                8_000, new ChangeOffsets(17, 1L << 40, 16), Optional.of(new ManifestPosition(7, 16)), 30, true);
        Question question = new Question("entry-a", 1_200, 17, 30, true, Optional.of(news), OptionalLong.of(1L << 40));
        assertEquals(question, LoadMessages.question(bytes(LoadMessages.write(question))));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 1e9, -1})
    void shouldReadWhatIsSaidOfLimitWhenWritten(double perSecond) throws IOException {
        OptionalDouble limit = perSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        Optional<RateLimitUpdate> word = Optional.of(new RateLimitUpdate(RateLimitUpdate.token("a"), limit, 1_200));
        Question question = new Question("entry-a", 0, 17, 0, false, Optional.empty(), OptionalLong.empty(), word);
        assertEquals(question, LoadMessages.question(bytes(LoadMessages.write(question))));
        Optional<EntryRank> rank = Optional.of(new EntryRank(59, 60));
        Answer answer = new Answer(17, new LoadReport(3, 8, true, 7, 5), Optional.empty(), 90, rank, word);
        assertEquals(answer, LoadMessages.answer(bytes(LoadMessages.write(answer))));
    }

    /** Anything may be sent to the port; it must not end the thread that reads, nor be taken for a message. */
    @Test
    void shouldRefuseDatagramsThatBreakOffOrGoOn() {
        StoreUpdate news =
                new StoreUpdate(8_000, new ChangeOffsets(17, 18), Optional.of(new ManifestPosition(7, 16)), 30, false);
        ReaderNews reader = new ReaderNews("10.0.0.1:8000", 17, 40);
        Optional<RateLimitUpdate> limit = Optional.of(new RateLimitUpdate(1, OptionalDouble.of(2), 3));
        Optional<EntryRank> rank = Optional.of(new EntryRank(1, 2));
        LoadReport report = new LoadReport(3, 8, true, 7, 5, OptionalInt.of(9));
        byte[] question = bytes(LoadMessages.write(
                new Question("entry-a", 1, 2, 3, true, Optional.of(news), OptionalLong.empty(), limit)));
        byte[] answer = bytes(LoadMessages.write(new Answer(17, report, Optional.of(reader), 90, rank, limit)));
        for (int length = 0; length < question.length; length++) {
            byte[] part = Arrays.copyOf(question, length);
            assertThrows(IOException.class, () -> LoadMessages.question(part));
        }
        for (int length = 0; length < answer.length; length++) {
            byte[] part = Arrays.copyOf(answer, length);
            assertThrows(IOException.class, () -> LoadMessages.answer(part));
        }
        assertThrows(IOException.class, () -> LoadMessages.question(Arrays.copyOf(question, question.length + 1)));
        assertThrows(IOException.class, () -> LoadMessages.answer(Arrays.copyOf(answer, answer.length + 1)));
    }

    @Test
    void shouldRefuseQuestionWhoseEntryHasAbsurdLength() {
        byte[] question = bytes(LoadMessages.write(new Question("entry-a", 1, 2, 3)));
        for (int length : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, 513}) {
            ByteBuffer.wrap(question).putInt(question.length - "entry-a".length() - Integer.BYTES, length);
            assertThrows(IOException.class, () -> LoadMessages.question(question));
        }
    }

    @Test
    void shouldReadAnswerWhenWritten() throws IOException {
        Answer answer = new Answer(17, new LoadReport(3, 800, true, 7, 5));
        assertEquals(answer, LoadMessages.answer(bytes(LoadMessages.write(answer))));
    }

    @Test
    void shouldReadStartOfEndpointWhenAnswerNamesIt() throws IOException {
        Answer answer = new Answer(17, new LoadReport(3, 800, true, 7, 5, OptionalInt.of(674_123)));
        assertEquals(answer, LoadMessages.answer(bytes(LoadMessages.write(answer))));
    }

    @Test
    void shouldReadReaderOfRegionWhenAnswerNamesIt() throws IOException {
        ReaderNews reader = new ReaderNews("10.0.0.1:8000", 1L << 40, 250);
        Answer answer = new Answer(17, new LoadReport(3, 800, true, 7, 5), Optional.of(reader), 1L << 40);
        assertEquals(answer, LoadMessages.answer(bytes(LoadMessages.write(answer))));
    }

    @Test
    @Timeout(5)
    void shouldTellSenderAndBytesWhenDatagramsComeOneAfterAnother() throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (DatagramChannel here = DatagramChannel.open().bind(anyPort);
                DatagramChannel there = DatagramChannel.open().bind(anyPort)) {
            Question longer = new Question("entry-with-a-longer-name", 1_200, 17, 30);
            Question shorter = new Question("e", 0, 0, 0);
            there.send(LoadMessages.write(longer), here.getLocalAddress());
            there.send(LoadMessages.write(shorter), here.getLocalAddress());
            Received first = LoadMessages.receive(here);
            Received second = LoadMessages.receive(here);
            assertEquals(there.getLocalAddress(), first.from());
            assertEquals(longer, LoadMessages.question(first.bytes()));
            assertEquals(shorter, LoadMessages.question(second.bytes()));
        }
    }

    /** What is known of a time to come makes an entry sure of what it has not heard; by HTTP such an age is refused. */
    @Test
    void shouldRefuseAnswerWhenReaderKnowsOfTimeToCome() {
        ByteBuffer datagram = LoadMessages.write(new LoadMessages.Answer(
                1, new LoadReport(0, 0, false, 1), Optional.of(new ReaderNews("10.0.0.1:8000", 17, -5_000)), 0));
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        assertThrows(IOException.class, () -> LoadMessages.answer(bytes));
    }
}
