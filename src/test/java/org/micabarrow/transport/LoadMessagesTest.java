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
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.LoadReply.ReaderUpdate;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.ManifestPosition;

class LoadMessagesTest {

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void shouldReadStateOfEndpointWhenWritten(boolean loading, boolean draining) throws IOException {
        LoadReport report = new LoadReport(3, 8, loading, 7, 5, OptionalInt.of(9), draining);
        assertEquals(
                report,
                LoadMessages.readReply(bytes(LoadMessages.write(new LoadReply(17, report))))
                        .report());
    }

    @Test
    void shouldReadQueryWhenWritten() throws IOException {
        LoadQuery query = new LoadQuery("entry-a", 1_200, 17, 30);
        assertEquals(query, LoadMessages.readQuery(bytes(LoadMessages.write(query))));
    }

    @Test
    void shouldReadStoreUpdateWhenQueryContainsIt() throws IOException {
        StoreUpdate storeUpdate = new StoreUpdate(
                8_000, new ChangeOffsets(17, 1L << 40, 16), Optional.of(new ManifestPosition(7, 16)), 30, true);
        LoadQuery query =
                new LoadQuery("entry-a", 1_200, 17, 30, true, Optional.of(storeUpdate), OptionalLong.of(1L << 40));
        assertEquals(query, LoadMessages.readQuery(bytes(LoadMessages.write(query))));
    }

    private static StoreUpdate updateOfLaterEra() {
        ChangeOffsets changes = new ChangeOffsets(EraOffset.of(3, 17), EraOffset.of(2, 40), EraOffset.of(0, 16));
        return new StoreUpdate(8_000, changes, Optional.of(new ManifestPosition(7, EraOffset.of(3, 16))), 30, true);
    }

    private static LoadQuery queryWith(StoreUpdate update, Optional<EntryDemand> demand) {
        return new LoadQuery(
                "entry-a", 0, 17, 0, true, Optional.of(update), OptionalLong.empty(), Optional.empty(), demand);
    }

    @Test
    void shouldReadErasWhenWritten() throws IOException {
        LoadQuery query = queryWith(updateOfLaterEra(), Optional.of(EntryDemand.none()));
        assertEquals(
                query.storeUpdate(),
                LoadMessages.readQuery(bytes(LoadMessages.write(query))).storeUpdate());
        Optional<ReaderUpdate> reader = Optional.of(new ReaderUpdate("10.0.0.1:8000", EraOffset.of(3, 17), 40));
        LoadReply reply = new LoadReply(17, new LoadReport(3, 800, true, 7, 5), reader, 90);
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    /** An agent of a build that reads no appended fields gets the offsets as the store states them. */
    @Test
    void shouldWriteOffsetsWithoutErasWhenReceiverReadsNone() throws IOException {
        LoadQuery read =
                LoadMessages.readQuery(bytes(LoadMessages.write(queryWith(updateOfLaterEra(), Optional.empty()))));
        StoreUpdate update = read.storeUpdate().orElseThrow();
        assertEquals(new ChangeOffsets(17, 40, 16), update.changes());
        assertEquals(Optional.of(new ManifestPosition(7, 16)), update.manifest());
    }

    /** An entry of such a build would take the offset for one of the era that it knows. */
    @Test
    void shouldNameNoReaderOfLaterEraWhenEntryReadsNoAppendedFields() {
        Optional<ReaderUpdate> reader = Optional.of(new ReaderUpdate("10.0.0.1:8000", EraOffset.of(3, 17), 40));
        LoadReply reply = new LoadReply(17, new LoadReport(3, 800, true, 7, 5), reader, 90);
        assertEquals(Optional.empty(), reply.withoutAppendedFields().reader());
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.3, 1e9, -1})
    void shouldReadRateLimitWhenWritten(double perSecond) throws IOException {
        OptionalDouble limit = perSecond < 0 ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
        Optional<RateLimitUpdate> rateLimit =
                Optional.of(new RateLimitUpdate(RateLimitUpdate.token("a"), limit, 1_200));
        LoadQuery query = new LoadQuery("entry-a", 0, 17, 0, false, Optional.empty(), OptionalLong.empty(), rateLimit);
        assertEquals(query, LoadMessages.readQuery(bytes(LoadMessages.write(query))));
        Optional<EntryRank> rank = Optional.of(new EntryRank(59, 60));
        LoadReply reply = new LoadReply(17, new LoadReport(3, 8, true, 7, 5), Optional.empty(), 90, rank, rateLimit);
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    /** Anything may be sent to the port. It must neither end the receiving thread nor be accepted as a message. */
    @Test
    void shouldRejectDatagramsThatAreTruncatedOrTooLong() {
        StoreUpdate storeUpdate =
                new StoreUpdate(8_000, new ChangeOffsets(17, 18), Optional.of(new ManifestPosition(7, 16)), 30, false);
        ReaderUpdate reader = new ReaderUpdate("10.0.0.1:8000", 17, 40);
        Optional<RateLimitUpdate> rateLimit = Optional.of(new RateLimitUpdate(1, OptionalDouble.of(2), 3));
        Optional<EntryRank> rank = Optional.of(new EntryRank(1, 2));
        LoadReport report = new LoadReport(3, 8, true, 7, 5, OptionalInt.of(9));
        byte[] query = bytes(LoadMessages.write(
                new LoadQuery("entry-a", 1, 2, 3, true, Optional.of(storeUpdate), OptionalLong.empty(), rateLimit)));
        byte[] reply = bytes(LoadMessages.write(new LoadReply(17, report, Optional.of(reader), 90, rank, rateLimit)));
        for (int length = 0; length < query.length; length++) {
            byte[] truncated = Arrays.copyOf(query, length);
            assertThrows(IOException.class, () -> LoadMessages.readQuery(truncated));
        }
        for (int length = 0; length < reply.length; length++) {
            byte[] truncated = Arrays.copyOf(reply, length);
            assertThrows(IOException.class, () -> LoadMessages.readReply(truncated));
        }
        assertThrows(IOException.class, () -> LoadMessages.readQuery(Arrays.copyOf(query, query.length + 1)));
        assertThrows(IOException.class, () -> LoadMessages.readReply(Arrays.copyOf(reply, reply.length + 1)));
    }

    @Test
    void shouldRejectQueryWhenLengthOfEntryIsInvalid() {
        byte[] query = bytes(LoadMessages.write(new LoadQuery("entry-a", 1, 2, 3)));
        for (int length : new int[] {-1, Integer.MIN_VALUE, Integer.MAX_VALUE, 513}) {
            ByteBuffer.wrap(query).putInt(query.length - "entry-a".length() - Integer.BYTES, length);
            assertThrows(IOException.class, () -> LoadMessages.readQuery(query));
        }
    }

    @Test
    void shouldReadReplyWhenWritten() throws IOException {
        LoadReply reply = new LoadReply(17, new LoadReport(3, 800, true, 7, 5));
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    @Test
    void shouldReadStartOfEndpointWhenReplyContainsIt() throws IOException {
        LoadReply reply = new LoadReply(17, new LoadReport(3, 800, true, 7, 5, OptionalInt.of(674_123)));
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    @Test
    void shouldReadReaderOfRegionWhenReplyContainsIt() throws IOException {
        ReaderUpdate reader = new ReaderUpdate("10.0.0.1:8000", 1L << 40, 250);
        LoadReply reply = new LoadReply(17, new LoadReport(3, 800, true, 7, 5), Optional.of(reader), 1L << 40);
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    @Test
    @Timeout(5)
    void shouldReturnSenderAndBytesWhenDatagramsArriveInSequence() throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (DatagramChannel receiver = DatagramChannel.open().bind(anyPort);
                DatagramChannel sender = DatagramChannel.open().bind(anyPort)) {
            LoadQuery longer = new LoadQuery("entry-with-a-longer-name", 1_200, 17, 30);
            LoadQuery shorter = new LoadQuery("e", 0, 0, 0);
            sender.send(LoadMessages.write(longer), receiver.getLocalAddress());
            sender.send(LoadMessages.write(shorter), receiver.getLocalAddress());
            ReceivedDatagram first = ReceivedDatagram.receive(receiver);
            ReceivedDatagram second = ReceivedDatagram.receive(receiver);
            assertEquals(sender.getLocalAddress(), first.from());
            assertEquals(longer, LoadMessages.readQuery(first.bytes()));
            assertEquals(shorter, LoadMessages.readQuery(second.bytes()));
        }
    }

    /**
     * An age below zero would make an entry rely on information that it does not have. Over HTTP such an age is
     * rejected too.
     */
    @Test
    void shouldRejectReplyWhenAgeOfReaderIsNegative() {
        ByteBuffer datagram = LoadMessages.write(new LoadReply(
                1, new LoadReport(0, 0, false, 1), Optional.of(new ReaderUpdate("10.0.0.1:8000", 17, -5_000)), 0));
        byte[] bytes = new byte[datagram.remaining()];
        datagram.get(bytes);
        assertThrows(IOException.class, () -> LoadMessages.readReply(bytes));
    }
}
