package org.micabarrow.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.micabarrow.admission.ClassDemand;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.admission.OrganisationUsage;
import org.micabarrow.admission.SlotGrants;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.EndpointCondition;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.transport.LoadReply.ReaderUpdate;
import org.micabarrow.transport.LoadReply.ReplyExtension;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.ManifestPosition;

/** Messages between processes of different builds. */
class AppendedFieldsTest {

    /** A query and a reply as the build without appended fields wrote them. */
    private static final String FORMER_QUERY = "00000011000004b00000001e010100000000000000630100001f4000000000000000"
            + "1100000000000000120000000000000010000000000000001e010100000000000000070000000000000010010000000501400400"
            + "00000000000000002800000007656e7472792d61";

    private static final String FORMER_REPLY = "000000110000000300000320000000050000000000000007030100000009010000"
            + "00000000001100000000000000fa0000000d31302e302e302e313a38303030000000000000005a010002000e0100000005014004"
            + "00000000000000000028";

    private static final Optional<RateLimitUpdate> LIMIT =
            Optional.of(new RateLimitUpdate(5, OptionalDouble.of(2.5), 40));

    private static final EntryDemand DEMAND = new EntryDemand(
            List.of(new ClassDemand(0, 120, 3), new ClassDemand(2, 70_000, 0)),
            List.of(new OrganisationUsage(OrganisationUsage.token("org-a"), 90_000)));

    private static final EndpointCondition CONDITION =
            new EndpointCondition(12, 3, OptionalDouble.of(2.5), OptionalLong.of(41_000), OptionalLong.of(1L << 40));

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private static LoadQuery query(Optional<EntryDemand> demand) {
        StoreUpdate update = new StoreUpdate(
                8_000, new ChangeOffsets(17, 18, 16), Optional.of(new ManifestPosition(7, 16)), 30, true);
        return new LoadQuery("entry-a", 1_200, 17, 30, true, Optional.of(update), OptionalLong.of(99), LIMIT, demand);
    }

    private static LoadReply reply(LoadReport report, Optional<ReplyExtension> extension) {
        return new LoadReply(
                17,
                report,
                Optional.of(new ReaderUpdate("10.0.0.1:8000", 17, 250)),
                90,
                Optional.of(new EntryRank(2, 14)),
                LIMIT,
                extension);
    }

    private static LoadReport report() {
        return new LoadReport(3, 800, true, 7, 5, OptionalInt.of(9), true);
    }

    // -- the build without appended fields

    @Test
    void shouldReadQueryWhenFormerBuildWroteIt() throws IOException {
        assertEquals(
                query(Optional.empty()), LoadMessages.readQuery(HexFormat.of().parseHex(FORMER_QUERY)));
    }

    @Test
    void shouldReadReplyWhenFormerBuildWroteIt() throws IOException {
        assertEquals(
                reply(report(), Optional.empty()),
                LoadMessages.readReply(HexFormat.of().parseHex(FORMER_REPLY)));
    }

    @Test
    void shouldWriteQueryAsFormerBuildWhenAgentMayNotReadAppendedFields() {
        assertArrayEquals(HexFormat.of().parseHex(FORMER_QUERY), bytes(LoadMessages.write(query(Optional.empty()))));
    }

    /** The former build rejects longer replies, and ignores the bit of the state that it does not know. */
    @Test
    void shouldDifferByOneBitOnlyWhenReplyGoesToFormerBuild() {
        LoadReply reply = reply(
                report().withCondition(Optional.of(CONDITION)),
                Optional.of(new ReplyExtension(
                        Optional.of(new SlotGrants(List.of(new SlotGrants.ClassSlots(0, 2)), List.of())))));
        byte[] written = bytes(LoadMessages.write(reply.withoutAppendedFields()));
        byte[] former = HexFormat.of().parseHex(FORMER_REPLY);
        int different = Arrays.mismatch(former, written);
        assertEquals(former[different] | 4, written[different]);
        assertEquals(former.length, written.length);
        written[different] = former[different];
        assertArrayEquals(former, written);
    }

    // -- appended fields

    @Test
    void shouldReadDemandWhenAppended() throws IOException {
        LoadQuery read = LoadMessages.readQuery(bytes(LoadMessages.write(query(Optional.of(DEMAND)))));
        EntryDemand limited = new EntryDemand(
                List.of(new ClassDemand(0, 120, 3), new ClassDemand(2, 65_535, 0)), DEMAND.organisations());
        assertEquals(query(Optional.of(limited)), read);
    }

    @Test
    void shouldReadConditionAndGrantsWhenAppended() throws IOException {
        LoadReply reply = reply(
                report().withCondition(Optional.of(CONDITION)),
                Optional.of(new ReplyExtension(Optional.of(
                        new SlotGrants(List.of(new SlotGrants.ClassSlots(0, 2)), DEMAND.organisations())))));
        assertEquals(reply, LoadMessages.readReply(bytes(LoadMessages.write(reply))));
    }

    @Test
    void shouldReadRestWhenFieldIsUnknownOrLongerThanKnown() throws IOException {
        byte[] known = bytes(LoadMessages.write(query(Optional.of(EntryDemand.none()))));
        AppendedFields later = AppendedFields.empty()
                .with((byte) 99, ByteBuffer.wrap(new byte[] {1, 2, 3}))
                .with((byte) 1, ByteBuffer.wrap(new byte[] {0, 0, 7, 7}));
        ByteBuffer datagram = ByteBuffer.allocate(known.length + later.size()).put(known);
        later.write(datagram);
        assertEquals(query(Optional.of(EntryDemand.none())), LoadMessages.readQuery(datagram.array()));
    }

    @Test
    void shouldRejectDatagramWhenAppendedFieldIsTruncatedOrTooLong() {
        byte[] whole = bytes(LoadMessages.write(query(Optional.of(DEMAND))));
        int plain = HexFormat.of().parseHex(FORMER_QUERY).length;
        for (int length = plain + 1; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(IOException.class, () -> LoadMessages.readQuery(truncated));
        }
        byte[] tooMany = whole.clone();
        tooMany[plain + 3] = 9;
        assertThrows(IOException.class, () -> LoadMessages.readQuery(tooMany));
    }

    @Test
    void shouldFitIntoDatagramWhenAllFieldsHaveTheirMaximumLength() {
        List<ClassDemand> classes = IntStream.range(0, EntryDemand.MAX_CLASSES)
                .mapToObj(priority -> new ClassDemand(priority, 1, 1))
                .toList();
        List<OrganisationUsage> organisations = IntStream.range(0, EntryDemand.MAX_ORGANISATIONS)
                .mapToObj(token -> new OrganisationUsage(token, 1))
                .toList();
        int size = LoadMessages.write(query(Optional.of(new EntryDemand(classes, organisations))))
                .remaining();
        assertTrue(size <= 512, "a query of " + size + " bytes");
    }
}
