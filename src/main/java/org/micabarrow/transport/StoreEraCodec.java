package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.micabarrow.views.ChangeOffsets;
import org.micabarrow.views.EraOffset;
import org.micabarrow.views.ManifestPosition;

/**
 * The eras of the offsets in a datagram. They are an appended field, since builds that know no eras read offsets without
 * them.
 */
final class StoreEraCodec {

    private static final int ERAS_IN_UPDATE = 4;

    private StoreEraCodec() {}

    // -- updates of entries

    /** Whether any offset of an update is of a later era than the first. */
    static boolean isOfLaterEra(StoreUpdate update) {
        ChangeOffsets changes = update.changes();
        return EraOffset.era(changes.operator()) > 0
                || EraOffset.era(changes.endpoints()) > 0
                || EraOffset.era(changes.weights()) > 0
                || EraOffset.era(manifestOffset(update)) > 0;
    }

    static ByteBuffer write(StoreUpdate update) {
        return ByteBuffer.allocate(ERAS_IN_UPDATE * Integer.BYTES)
                .putInt(era(update.changes().operator()))
                .putInt(era(update.changes().endpoints()))
                .putInt(era(update.changes().weights()))
                .putInt(era(manifestOffset(update)))
                .flip();
    }

    /** Returns an update whose offsets were received without their eras. */
    static StoreUpdate inEras(StoreUpdate update, ByteBuffer eras) {
        ChangeOffsets changes = update.changes();
        ChangeOffsets inEras = new ChangeOffsets(
                EraOffset.of(eras.getInt(), changes.operator()),
                EraOffset.of(eras.getInt(), changes.endpoints()),
                EraOffset.of(eras.getInt(), changes.weights()));
        int manifestEra = eras.getInt();
        Optional<ManifestPosition> manifest = update.manifest()
                .map(position ->
                        new ManifestPosition(position.version(), EraOffset.of(manifestEra, position.offset())));
        return new StoreUpdate(update.port(), inEras, manifest, update.knownMillisAgo(), update.direct());
    }

    private static long manifestOffset(StoreUpdate update) {
        return update.manifest().map(ManifestPosition::offset).orElse(0L);
    }

    // -- the region's reader

    static ByteBuffer write(long offset) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(era(offset)).flip();
    }

    /** Returns an update whose offset was received without its era. */
    static LoadReply.ReaderUpdate inEra(LoadReply.ReaderUpdate reader, ByteBuffer era) {
        return new LoadReply.ReaderUpdate(
                reader.peer(), EraOffset.of(era.getInt(), reader.operatorOffset()), reader.knownMillisAgo());
    }

    private static int era(long offset) {
        return Math.toIntExact(EraOffset.era(offset));
    }
}
