package org.micabarrow.transport;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.micabarrow.admission.EntryDemand;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;
import org.micabarrow.routing.LoadReport;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.ManifestPosition;

/**
 * The datagrams by which entries query agents for the load of their endpoints. A lost datagram is made up for by the
 * next one. Numbers are binary, since every entry queries an agent several times a second.
 */
final class LoadMessages {

    /** The size of a query without its store update and the entry's name, in bytes. */
    private static final int QUERY_BYTES = 4 * Integer.BYTES + Long.BYTES + 3;

    /** The size of a store update without the position of the manifest, in bytes. */
    private static final int UPDATE_BYTES = Integer.BYTES + 4 * Long.BYTES + 2;

    private static final int MANIFEST_POSITION_BYTES = 2 * Long.BYTES;

    /** The size of a reply without the start of the endpoint and the region's reader, in bytes. */
    private static final int REPLY_BYTES = 4 * Integer.BYTES + 2 * Long.BYTES + 3;

    /** The size of the region's reader without its address, in bytes. */
    private static final int READER_BYTES = Integer.BYTES + 2 * Long.BYTES;

    private static final byte FALSE = 0;
    private static final byte TRUE = 1;

    /** The bits of an endpoint's state. */
    private static final int LOADING = 1;

    private static final int DRAINING = 2;

    /** Set by agents that read fields appended to queries; builds that know no appended fields ignore this bit. */
    private static final int READS_APPENDED_FIELDS = 4;

    /** The tags of appended fields. A tag is never used again for another field. */
    private static final byte DEMAND = 1;

    private static final byte CONDITION = 2;
    private static final byte GRANTS = 3;

    /** The eras of the offsets of a store update; absent while all are of the first era. */
    private static final byte UPDATE_ERAS = 4;

    /** The era of the offset of the region's reader; absent while it is of the first era. */
    private static final byte READER_ERA = 5;

    private LoadMessages() {}

    private interface Decoder<T> {
        T decode(ByteBuffer datagram);
    }

    /** Decodes a datagram. Whatever another program sends to the port is rejected with a reason. */
    private static <T> T decode(byte[] bytes, Decoder<T> decoder) throws IOException {
        try {
            ByteBuffer datagram = ByteBuffer.wrap(bytes);
            return decoder.decode(datagram);
        } catch (BufferUnderflowException e) {
            throw new IOException("a datagram of " + bytes.length + " bytes is truncated", e);
        } catch (IllegalArgumentException e) {
            throw new IOException("a datagram has an invalid value: " + e.getMessage(), e);
        }
    }

    /** Reads an age. A negative one would make the receiver rely on information that nobody can have yet. */
    private static long readAge(ByteBuffer datagram) {
        long millis = datagram.getLong();
        if (millis < 0) {
            throw new IllegalArgumentException("invalid age: " + millis + " ms");
        }
        return millis;
    }

    private static boolean readFlag(ByteBuffer datagram) {
        return datagram.get() != FALSE;
    }

    private static byte toByte(boolean on) {
        return on ? TRUE : FALSE;
    }

    // -- queries

    static ByteBuffer write(LoadQuery query) {
        byte[] entry = query.entry().getBytes(StandardCharsets.UTF_8);
        int updateSize = query.storeUpdate().map(LoadMessages::updateSize).orElse(0);
        int limitSize = RateLimitCodec.limitSize(query.rateLimit());
        AppendedFields appended = AppendedFields.empty();
        query.demand().ifPresent(demand -> {
            appended.with(DEMAND, DemandCodec.write(demand));
            query.storeUpdate()
                    .filter(StoreEraCodec::isOfLaterEra)
                    .ifPresent(update -> appended.with(UPDATE_ERAS, StoreEraCodec.write(update)));
        });
        ByteBuffer datagram =
                ByteBuffer.allocate(QUERY_BYTES + updateSize + limitSize + entry.length + appended.size());
        datagram.putInt(query.number());
        datagram.putInt(query.promptTokens());
        datagram.putInt(query.unmetRequests());
        datagram.put(toByte(query.sameRegion()));
        datagram.put(toByte(query.replyTimestamp().isPresent()));
        datagram.putLong(query.replyTimestamp().orElse(0));
        datagram.put(toByte(query.storeUpdate().isPresent()));
        query.storeUpdate().ifPresent(storeUpdate -> write(datagram, storeUpdate));
        RateLimitCodec.writeLimit(datagram, query.rateLimit());
        datagram.putInt(entry.length);
        datagram.put(entry);
        appended.write(datagram);
        return datagram.flip();
    }

    static LoadQuery readQuery(byte[] bytes) throws IOException {
        return decode(bytes, datagram -> {
            int number = datagram.getInt();
            int promptTokens = datagram.getInt();
            int unmetRequests = datagram.getInt();
            boolean sameRegion = readFlag(datagram);
            boolean hasTimestamp = readFlag(datagram);
            long timestampMillis = datagram.getLong();
            Optional<StoreUpdate> storeUpdate =
                    readFlag(datagram) ? Optional.of(readUpdate(datagram)) : Optional.empty();
            Optional<RateLimitUpdate> rateLimit = RateLimitCodec.readLimit(datagram);
            String entry = readText(datagram);
            AppendedFields appended = AppendedFields.read(datagram);
            Optional<EntryDemand> demand = appended.field(DEMAND, DemandCodec::readDemand);
            Optional<StoreUpdate> update = storeUpdate.map(
                    received -> appended.field(UPDATE_ERAS, eras -> StoreEraCodec.inEras(received, eras))
                            .orElse(received));
            OptionalLong replyTimestamp = hasTimestamp ? OptionalLong.of(timestampMillis) : OptionalLong.empty();
            return new LoadQuery(
                    entry, promptTokens, number, unmetRequests, sameRegion, update, replyTimestamp, rateLimit, demand);
        });
    }

    private static String readText(ByteBuffer datagram) {
        byte[] bytes = new byte[Math.clamp(datagram.getInt(), 0, ReceivedDatagram.MAX_BYTES)];
        datagram.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static int updateSize(StoreUpdate storeUpdate) {
        return UPDATE_BYTES + (storeUpdate.manifest().isPresent() ? MANIFEST_POSITION_BYTES : 0);
    }

    private static void write(ByteBuffer datagram, StoreUpdate storeUpdate) {
        datagram.putInt(storeUpdate.port());
        datagram.putLong(EraOffset.offset(storeUpdate.changes().operator()));
        datagram.putLong(EraOffset.offset(storeUpdate.changes().endpoints()));
        datagram.putLong(EraOffset.offset(storeUpdate.changes().weights()));
        datagram.putLong(storeUpdate.knownMillisAgo());
        datagram.put(toByte(storeUpdate.direct()));
        datagram.put(toByte(storeUpdate.manifest().isPresent()));
        storeUpdate.manifest().ifPresent(position -> {
            datagram.putLong(position.version());
            datagram.putLong(EraOffset.offset(position.offset()));
        });
    }

    private static StoreUpdate readUpdate(ByteBuffer datagram) {
        int port = datagram.getInt();
        ChangeOffsets changes = new ChangeOffsets(datagram.getLong(), datagram.getLong(), datagram.getLong());
        long knownMillisAgo = readAge(datagram);
        boolean direct = readFlag(datagram);
        Optional<ManifestPosition> manifest = readFlag(datagram)
                ? Optional.of(new ManifestPosition(datagram.getLong(), datagram.getLong()))
                : Optional.empty();
        return new StoreUpdate(port, changes, manifest, knownMillisAgo, direct);
    }

    // -- replies

    static ByteBuffer write(LoadReply reply) {
        LoadReport report = reply.report();
        int startSize = report.start().isPresent() ? Integer.BYTES : 0;
        byte[] peer =
                reply.reader().map(LoadReply.ReaderUpdate::peer).orElse("").getBytes(StandardCharsets.UTF_8);
        int readerSize = reply.reader().isPresent() ? READER_BYTES + peer.length : 0;
        int limitSize = RateLimitCodec.rankSize(reply.rank()) + RateLimitCodec.limitSize(reply.rateLimit());
        AppendedFields appended = appendedFields(reply);
        ByteBuffer datagram = ByteBuffer.allocate(REPLY_BYTES + startSize + readerSize + limitSize + appended.size());
        datagram.putInt(reply.number());
        datagram.putInt(report.requests());
        datagram.putInt(report.othersPromptTokens());
        datagram.putInt(report.allottedSlots());
        datagram.putLong(report.version());
        datagram.put(state(reply));
        datagram.put(toByte(report.start().isPresent()));
        report.start().ifPresent(datagram::putInt);
        datagram.put(toByte(reply.reader().isPresent()));
        reply.reader().ifPresent(reader -> {
            datagram.putLong(EraOffset.offset(reader.operatorOffset()));
            datagram.putLong(reader.knownMillisAgo());
            datagram.putInt(peer.length);
            datagram.put(peer);
        });
        datagram.putLong(reply.timestampMillis());
        RateLimitCodec.writeRank(datagram, reply.rank());
        RateLimitCodec.writeLimit(datagram, reply.rateLimit());
        appended.write(datagram);
        return datagram.flip();
    }

    private static AppendedFields appendedFields(LoadReply reply) {
        AppendedFields appended = AppendedFields.empty();
        reply.report().condition().ifPresent(condition -> appended.with(CONDITION, ConditionCodec.write(condition)));
        reply.extension()
                .flatMap(LoadReply.ReplyExtension::grants)
                .ifPresent(grants -> appended.with(GRANTS, DemandCodec.write(grants)));
        reply.reader()
                .map(LoadReply.ReaderUpdate::operatorOffset)
                .filter(offset -> EraOffset.era(offset) > 0)
                .ifPresent(offset -> appended.with(READER_ERA, StoreEraCodec.write(offset)));
        return appended;
    }

    private static byte state(LoadReply reply) {
        LoadReport report = reply.report();
        return (byte) ((report.loading() ? LOADING : 0)
                | (report.draining() ? DRAINING : 0)
                | (reply.extension().isPresent() ? READS_APPENDED_FIELDS : 0));
    }

    static LoadReply readReply(byte[] bytes) throws IOException {
        return decode(bytes, datagram -> {
            int number = datagram.getInt();
            int requests = datagram.getInt();
            int othersPromptTokens = datagram.getInt();
            int slots = datagram.getInt();
            long version = datagram.getLong();
            byte state = datagram.get();
            OptionalInt start = readFlag(datagram) ? OptionalInt.of(datagram.getInt()) : OptionalInt.empty();
            LoadReport report = new LoadReport(
                    requests,
                    othersPromptTokens,
                    (state & LOADING) != 0,
                    version,
                    slots,
                    start,
                    (state & DRAINING) != 0);
            Optional<LoadReply.ReaderUpdate> firstEraReader =
                    readFlag(datagram) ? Optional.of(readReader(datagram)) : Optional.empty();
            long timestampMillis = datagram.getLong();
            Optional<EntryRank> rank = RateLimitCodec.readRank(datagram);
            Optional<RateLimitUpdate> rateLimit = RateLimitCodec.readLimit(datagram);
            AppendedFields appended = AppendedFields.read(datagram);
            Optional<LoadReply.ReaderUpdate> reader =
                    firstEraReader.map(received -> appended.field(READER_ERA, era -> StoreEraCodec.inEra(received, era))
                            .orElse(received));
            return new LoadReply(
                    number,
                    report.withCondition(appended.field(CONDITION, ConditionCodec::read)),
                    reader,
                    timestampMillis,
                    rank,
                    rateLimit,
                    extension(state, appended));
        });
    }

    private static Optional<LoadReply.ReplyExtension> extension(byte state, AppendedFields appended) {
        return (state & READS_APPENDED_FIELDS) == 0
                ? Optional.empty()
                : Optional.of(new LoadReply.ReplyExtension(appended.field(GRANTS, DemandCodec::readGrants)));
    }

    private static LoadReply.ReaderUpdate readReader(ByteBuffer datagram) {
        long operatorOffset = datagram.getLong();
        long knownMillisAgo = readAge(datagram);
        return new LoadReply.ReaderUpdate(readText(datagram), operatorOffset, knownMillisAgo);
    }
}
