package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalDouble;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;

/**
 * Encodes the ranks and rate limits in the datagrams between entries and agents. Each value is preceded by a byte that
 * states whether it is present.
 */
final class RateLimitCodec {

    private static final int RANK_BYTES = 2 * Short.BYTES;
    private static final int LIMIT_BYTES = 2 * Integer.BYTES + Double.BYTES + 1;
    private static final byte ABSENT = 0;
    private static final byte PRESENT = 1;

    private RateLimitCodec() {}

    // -- ranks

    static int rankSize(Optional<EntryRank> rank) {
        return 1 + (rank.isPresent() ? RANK_BYTES : 0);
    }

    static void writeRank(ByteBuffer datagram, Optional<EntryRank> rank) {
        datagram.put(rank.isPresent() ? PRESENT : ABSENT);
        rank.ifPresent(value -> {
            datagram.putShort((short) value.rank());
            datagram.putShort((short) value.entries());
        });
    }

    static Optional<EntryRank> readRank(ByteBuffer datagram) {
        return datagram.get() == ABSENT
                ? Optional.empty()
                : Optional.of(new EntryRank(datagram.getShort(), datagram.getShort()));
    }

    // -- limits

    static int limitSize(Optional<RateLimitUpdate> limit) {
        return 1 + (limit.isPresent() ? LIMIT_BYTES : 0);
    }

    static void writeLimit(ByteBuffer datagram, Optional<RateLimitUpdate> limit) {
        datagram.put(limit.isPresent() ? PRESENT : ABSENT);
        limit.ifPresent(update -> {
            datagram.putInt(update.endpointToken());
            datagram.put(update.perSecond().isPresent() ? PRESENT : ABSENT);
            datagram.putDouble(update.perSecond().orElse(0));
            datagram.putInt(update.ageMillis());
        });
    }

    static Optional<RateLimitUpdate> readLimit(ByteBuffer datagram) {
        if (datagram.get() == ABSENT) {
            return Optional.empty();
        }
        int endpoint = datagram.getInt();
        boolean hasLimit = datagram.get() != ABSENT;
        double perSecond = datagram.getDouble();
        OptionalDouble limit = hasLimit ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
        return Optional.of(new RateLimitUpdate(endpoint, limit, datagram.getInt()));
    }
}
