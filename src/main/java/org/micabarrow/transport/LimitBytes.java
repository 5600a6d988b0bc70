package org.micabarrow.transport;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalDouble;
import org.micabarrow.limits.EntryRank;
import org.micabarrow.limits.RateLimitUpdate;

/** What the datagrams between entries and agents say of limits: a byte that tells whether something follows, and that. */
final class LimitBytes {

    private static final int RANK_BYTES = 2 * Short.BYTES;
    private static final int LIMIT_BYTES = 2 * Integer.BYTES + Double.BYTES + 1;
    private static final byte ABSENT = 0;
    private static final byte PRESENT = 1;

    private LimitBytes() {}

    // -- ranks

    static int ofRank(Optional<EntryRank> rank) {
        return 1 + (rank.isPresent() ? RANK_BYTES : 0);
    }

    static void writeRank(ByteBuffer datagram, Optional<EntryRank> rank) {
        datagram.put(rank.isPresent() ? PRESENT : ABSENT);
        rank.ifPresent(one -> {
            datagram.putShort((short) one.rank());
            datagram.putShort((short) one.entries());
        });
    }

    static Optional<EntryRank> readRank(ByteBuffer datagram) {
        return datagram.get() == ABSENT
                ? Optional.empty()
                : Optional.of(new EntryRank(datagram.getShort(), datagram.getShort()));
    }

    // -- limits

    static int ofLimit(Optional<RateLimitUpdate> limit) {
        return 1 + (limit.isPresent() ? LIMIT_BYTES : 0);
    }

    static void writeLimit(ByteBuffer datagram, Optional<RateLimitUpdate> limit) {
        datagram.put(limit.isPresent() ? PRESENT : ABSENT);
        limit.ifPresent(word -> {
            datagram.putInt(word.endpoint());
            datagram.put(word.perSecond().isPresent() ? PRESENT : ABSENT);
            datagram.putDouble(word.perSecond().orElse(0));
            datagram.putInt(word.millisAgo());
        });
    }

    static Optional<RateLimitUpdate> readLimit(ByteBuffer datagram) {
        if (datagram.get() == ABSENT) {
            return Optional.empty();
        }
        int endpoint = datagram.getInt();
        boolean named = datagram.get() != ABSENT;
        double perSecond = datagram.getDouble();
        OptionalDouble limit = named ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
        return Optional.of(new RateLimitUpdate(endpoint, limit, datagram.getInt()));
    }
}
