package org.micabarrow.weights;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.micabarrow.state.Digest;
import org.micabarrow.state.Fault;
import org.micabarrow.state.Result;

/** An origin whose versions differ in every chunk, and whose available versions and chunks can be limited. */
final class FakeOrigin implements WeightOrigin {

    static final int CHUNKS = 8;

    /** How far the clock advances with each request for a chunk that is withheld. */
    private static final long QUESTION_MILLIS = 200;

    private final AtomicLong now;
    final AtomicInteger digestsAsked = new AtomicInteger();
    int given;
    volatile long knowsUpTo = Long.MAX_VALUE;
    volatile long givesUpTo = Long.MAX_VALUE;
    int spoilFirst;
    volatile int gives = Integer.MAX_VALUE;
    int givesFrom;

    FakeOrigin(AtomicLong now) {
        this.now = now;
    }

    static byte[] chunk(long version, int index) {
        return new byte[] {(byte) version, (byte) index};
    }

    static ChunkSet emptySet(long version) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            all.add(Digest.of(chunk(version, i)));
        }
        return new ChunkSet("m", version, all);
    }

    @Override
    public Result<List<String>> digests(String address, String model, long version) {
        digestsAsked.incrementAndGet();
        if (version > knowsUpTo) {
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "away"));
        }
        return Result.success(emptySet(version).digests());
    }

    @Override
    public synchronized Result<byte[]> chunk(String address, String model, long version, int index) {
        if (version > givesUpTo) {
            now.addAndGet(QUESTION_MILLIS);
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "away"));
        }
        if (index >= gives || index < givesFrom) {
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.NOT_FOUND, "not given"));
        }
        given++;
        return Result.success(spoilFirst-- > 0 ? new byte[] {9, 9} : chunk(version, index));
    }
}
