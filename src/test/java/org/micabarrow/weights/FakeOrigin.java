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
    private static final long REQUEST_MILLIS = 200;

    private final AtomicLong now;
    final AtomicInteger digestRequests = new AtomicInteger();
    int servedCount;
    volatile long maxKnownVersion = Long.MAX_VALUE;
    volatile long maxServedVersion = Long.MAX_VALUE;
    int corruptFirst;
    volatile int servedEnd = Integer.MAX_VALUE;
    int servedStart;

    FakeOrigin(AtomicLong now) {
        this.now = now;
    }

    static byte[] chunk(long version, int index) {
        return new byte[] {(byte) version, (byte) index};
    }

    static ChunkSet emptySet(long version) {
        List<String> digests = new ArrayList<>();
        for (int i = 0; i < CHUNKS; i++) {
            digests.add(Digest.of(chunk(version, i)));
        }
        return new ChunkSet("m", version, digests);
    }

    @Override
    public Result<List<String>> digests(String address, String model, long version) {
        digestRequests.incrementAndGet();
        if (version > maxKnownVersion) {
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "unavailable"));
        }
        return Result.success(emptySet(version).digests());
    }

    @Override
    public synchronized Result<byte[]> chunk(String address, String model, long version, int index) {
        if (version > maxServedVersion) {
            now.addAndGet(REQUEST_MILLIS);
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.UNREACHABLE, "unavailable"));
        }
        if (index >= servedEnd || index < servedStart) {
            return Result.failure(Fault.of(Fault.Step.FETCH, address, Fault.Reason.NOT_FOUND, "withheld"));
        }
        servedCount++;
        return Result.success(corruptFirst-- > 0 ? new byte[] {9, 9} : chunk(version, index));
    }
}
